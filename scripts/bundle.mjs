/**
 * Bundles the platform's program from its sources into target/, or into the folder that is named as
 * the argument; checks no types. The entry point, vanilladock.mjs, loads the rest when it runs, so
 * that it handles signals before.
 */
import { build } from 'esbuild';

const [outdir = 'target'] = process.argv.slice(2);

await build({
  entryPoints: { vanilladock: 'platform/src/lib/main.ts' },
  outdir,
  outExtension: { '.js': '.mjs' },
  chunkNames: 'vanilladock-[name]',
  bundle: true,
  splitting: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  minify: true,
  conditions: ['source'],
  banner: {
    js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
  },
  logLevel: 'warning',
});
