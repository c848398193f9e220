/** Loads files named on the command line, with error messages that advise the operator. */
import { readFileSync } from 'node:fs';
import { Err, Ok, type Result } from 'ts-results-es';
import type { ConfigFault } from 'vanilladock';

/** Reads a text file; the error is a message for the operator. */
export function loadText(path: string): Result<string, string> {
  try {
    return Ok(readFileSync(path, 'utf8'));
  } catch (error) {
    const { code } = error as NodeJS.ErrnoException;
    const advice = code === 'ENOENT' ? 'check the path' : 'check that you may read it';
    return Err(`cannot read ${path} (${code}); ${advice}`);
  }
}

/** Formats faults as `file:line:column path: message`, one per line. */
export function formatFaults(file: string, faults: readonly ConfigFault[]): string {
  return faults
    .map(({ line, column, path, message }) => {
      const prefix = path === '' ? '' : `${path}: `;
      return `${file}:${line}:${column} ${prefix}${message}`;
    })
    .join('\n');
}

/** Loads and parses a file; the error is a message for the operator. */
export function loadFile<T>(
  path: string,
  parse: (text: string) => Result<T, readonly ConfigFault[]>,
): Result<T, string> {
  return loadText(path).andThen((text) =>
    parse(text).mapErr((faults) => formatFaults(path, faults)),
  );
}
