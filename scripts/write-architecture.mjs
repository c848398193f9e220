/**
 * Writes the module map in docs/ARCHITECTURE.md: one line per module with the first sentence of its
 * head comment. With `--check` it writes nothing and fails if the map is out of date.
 */
import { readFileSync, readdirSync, writeFileSync } from 'node:fs';
import { join, relative } from 'node:path';

const MAP_FILE = 'docs/ARCHITECTURE.md';
const MAP_MARKER = '<!-- The map below is written by scripts/write-architecture.mjs. -->';
const PACKAGES = ['vanilladock', 'daemon', 'stand-ins', 'measure', 'platform', 'soak'];

/** Gives the folder of a package's modules; the soak is a folder of the platform. */
function getRoot(name) {
  if (name === 'soak') return join('platform', 'src', 'soak');
  return name === 'platform' ? join(name, 'src', 'lib') : join('packages', name, 'src', 'lib');
}

/** Lists the paths of the modules of a package. */
function listModules(name) {
  const root = getRoot(name);
  return readdirSync(root, { recursive: true })
    .map((file) => join(root, String(file)))
    .filter((file) => file.endsWith('.ts'))
    .sort();
}

/** Reads the first sentence of a module's head comment; it ends at the first full stop or colon. */
function readSentence(file) {
  const comment = /\/\*\*([\s\S]*?)\*\//.exec(readFileSync(file, 'utf8'))?.[1] ?? '';
  const text = comment
    .replace(/^\s*\*/gm, ' ')
    .replace(/\s+/g, ' ')
    .trim();
  return /^.*?[.:](?=\s|$)/.exec(text)?.[0].replace(/:$/, '.') ?? text;
}

/** Renders the section of one package. */
function renderPackage(name) {
  const root = getRoot(name);
  const lines = listModules(name).map(
    (file) => `- \`${relative(root, file)}\`: ${readSentence(file)}`,
  );
  return `### ${name}\n\n${lines.join('\n')}\n`;
}

const oldText = readFileSync(MAP_FILE, 'utf8');
const introduction = oldText.slice(0, oldText.indexOf(MAP_MARKER));
const newText = `${introduction}${MAP_MARKER}\n\n${PACKAGES.map(renderPackage).join('\n')}`;
if (!process.argv.includes('--check')) writeFileSync(MAP_FILE, newText);
else if (newText !== oldText) {
  process.stderr.write(`${MAP_FILE} is out of date; run: node scripts/write-architecture.mjs\n`);
  process.exit(1);
}
