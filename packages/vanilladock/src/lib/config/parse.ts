/**
 * Reads a configuration from YAML text. Every fault is reported with line and column, what is wrong
 * and what to write instead.
 */
import { Err, Ok, type Result } from 'ts-results-es';
import { LineCounter, parseDocument, type Document } from 'yaml';
import type { z } from 'zod';
import { configSchema, type Config } from './schema.js';

/** One fault of a document. */
export interface ConfigFault {
  readonly line: number;
  readonly column: number;
  /** Path of the faulty part, such as `exceptions.0.reason`. */
  readonly path: string;
  readonly message: string;
}

/** Finds the position of a path in a document, or of the nearest parent that exists. */
function findPosition(document: Document, counter: LineCounter, path: readonly PropertyKey[]) {
  for (let { length } = path; length >= 0; length -= 1) {
    const node = document.getIn(path.slice(0, length), true) as
      { range?: [number, number, number] } | undefined;
    if (node?.range !== undefined) return counter.linePos(node.range[0]);
  }
  return { line: 1, col: 1 };
}

/** Words one schema issue. */
function formatIssue(issue: z.core.$ZodIssue): string {
  if (issue.code !== 'unrecognized_keys') return issue.message;
  return `unknown key ${issue.keys.join(', ')}; remove it or correct its spelling`;
}

/** Parses YAML text against a schema; faults carry line and column. */
export function parseYaml<T>(
  text: string,
  schema: z.ZodType<T>,
): Result<T, readonly ConfigFault[]> {
  const counter = new LineCounter();
  const document = parseDocument(text, { lineCounter: counter });
  const syntax = document.errors.map((error) => {
    const { line, col } = counter.linePos(error.pos[0]);
    return { line, column: col, path: '', message: error.message.split('\n')[0] ?? error.code };
  });
  if (syntax.length > 0) return Err(syntax);
  const checked = schema.safeParse(document.toJS());
  if (checked.success) return Ok(checked.data);
  return Err(
    checked.error.issues.map((issue) => {
      const { line, col } = findPosition(document, counter, issue.path);
      return { line, column: col, path: issue.path.join('.'), message: formatIssue(issue) };
    }),
  );
}

/** Parses a configuration document. */
export function parseConfig(text: string): Result<Config, readonly ConfigFault[]> {
  return parseYaml(text, configSchema as unknown as z.ZodType<Config>);
}
