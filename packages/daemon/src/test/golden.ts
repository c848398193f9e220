/** Golden files: the lines of a whole session compared with a kept file; GOLDEN=write keeps them anew. */
import { readFileSync, writeFileSync } from 'node:fs';
import * as assert from 'uvu/assert';

const FOLDER = new URL('../../src/test/golden/', import.meta.url);

/** Compares lines with the golden file of a name, or writes it. */
export const checkGolden = (name: string, lines: readonly string[]): void => {
  const path = new URL(`${name}.txt`, FOLDER);
  const text = `${lines.join('\n')}\n`;
  if (process.env.GOLDEN === 'write') writeFileSync(path, text);
  assert.fixture(text, readFileSync(path, 'utf8'));
};
