/** Compares the lines of a session with a golden file; `npm run golden` rewrites the file. */
import { readFileSync, writeFileSync } from 'node:fs';
import * as assert from 'uvu/assert';

const FOLDER = new URL('../../../src/test/golden/', import.meta.url);

/** Asserts that a session equals its golden file. */
export function compareGolden(name: string, lines: readonly unknown[]): void {
  const path = new URL(`${name}.golden.jsonl`, FOLDER);
  const text = lines.map((line) => `${JSON.stringify(line)}\n`).join('');
  if (process.env.GOLDEN === 'write') writeFileSync(path, text);
  assert.fixture(text, readFileSync(path, 'utf8'));
}
