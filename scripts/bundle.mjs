/** Bundles the platform's program from its sources into target/vanilladock.mjs; checks no types. */
import { build } from 'esbuild';

await build({
  entryPoints: ['platform/src/lib/main.ts'],
  outfile: 'target/vanilladock.mjs',
  bundle: true,
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
