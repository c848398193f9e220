/**
 * Writes the map of modules in docs/ARCHITECTURE.md: one line for each, the first sentence of the prose
 * at its head. With `--check` it only says whether the map is current.
 */
import { readFileSync, readdirSync, writeFileSync } from 'node:fs';
import { join, relative } from 'node:path';

const MAP = 'docs/ARCHITECTURE.md';
const MARK = '<!-- The map below is written by scripts/write-architecture.mjs. -->';
const PACKAGES = ['vanilladock', 'daemon', 'stand-ins', 'measure', 'platform', 'soak'];

/** Gives the folder of a package's modules; the soak lies beside the platform's. */
function getRoot(name) {
  if (name === 'soak') return join('platform', 'src', 'soak');
  return name === 'platform' ? join(name, 'src', 'lib') : join('packages', name, 'src', 'lib');
}

/** Lists the modules of a package. */
function listModules(name) {
  const root = getRoot(name);
  return readdirSync(root, { recursive: true })
    .map((file) => join(root, String(file)))
    .filter((file) => file.endsWith('.ts'))
    .sort();
}

/** Reads the first sentence of a module's prose. */
function readSentence(file) {
  const head = /\/\*\*([\s\S]*?)\*\//.exec(readFileSync(file, 'utf8'))?.[1] ?? '';
  const text = head
    .replace(/^\s*\*/gm, ' ')
    .replace(/\s+/g, ' ')
    .trim();
  return /^.*?[.:](?=\s|$)/.exec(text)?.[0].replace(/:$/, '.') ?? text;
}

/** Renders the map of one package. */
function renderPackage(name) {
  const root = getRoot(name);
  const lines = listModules(name).map(
    (file) => `- \`${relative(root, file)}\`: ${readSentence(file)}`,
  );
  return `### ${name}\n\n${lines.join('\n')}\n`;
}

const before = readFileSync(MAP, 'utf8');
const prose = before.slice(0, before.indexOf(MARK));
const after = `${prose}${MARK}\n\n${PACKAGES.map(renderPackage).join('\n')}`;
if (!process.argv.includes('--check')) writeFileSync(MAP, after);
else if (after !== before) {
  process.stderr.write(`${MAP} is not current; run: node scripts/write-architecture.mjs\n`);
  process.exit(1);
}
