/**
 * Golden files: compares the lines of a session with a stored file; GOLDEN=write stores them
 * instead.
 */
import { readFileSync, writeFileSync } from 'node:fs';
import * as assert from 'uvu/assert';

const GOLDEN_DIRECTORY = new URL('../../src/test/golden/', import.meta.url);

/** Compares lines with the golden file `name`.txt; writes the file first with GOLDEN=write. */
export const checkGolden = (name: string, lines: readonly string[]): void => {
  const path = new URL(`${name}.txt`, GOLDEN_DIRECTORY);
  const text = `${lines.join('\n')}\n`;
  if (process.env.GOLDEN === 'write') writeFileSync(path, text);
  assert.fixture(text, readFileSync(path, 'utf8'));
};
