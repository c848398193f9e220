/** Compares the lines of a session with a golden file; `npm run golden` writes the file anew. */
import { readFileSync, writeFileSync } from 'node:fs';
import * as assert from 'uvu/assert';

const FOLDER = new URL('../../../src/test/golden/', import.meta.url);

/** Fails where a session differs from its golden file. */
export function compareGolden(name: string, lines: readonly unknown[]): void {
  const path = new URL(`${name}.golden.jsonl`, FOLDER);
  const text = lines.map((line) => `${JSON.stringify(line)}\n`).join('');
  if (process.env.GOLDEN === 'write') writeFileSync(path, text);
  assert.fixture(text, readFileSync(path, 'utf8'));
}
