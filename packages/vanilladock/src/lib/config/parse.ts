/**
 * Parses a configuration from YAML text. Every fault has a line and a column, and a message that
 * says what is wrong and what to write instead.
 */
import { Err, Ok, type Result } from 'ts-results-es';
import { isPair, isScalar, LineCounter, parseDocument, visit, type Document } from 'yaml';
import type { z } from 'zod';
import { checkConfig, checkDates, type CheckFault } from './check.js';
import { formatIssue } from './format-issue.js';
import { configSchema, type Config } from './schema.js';

/** One validation fault of a document; line and column start at 1. */
export interface ConfigFault {
  readonly line: number;
  readonly column: number;
  /**
   * Path of the faulty part, such as `exceptions.0.reason`; empty for a syntax error and for a
   * fault of the whole document.
   */
  readonly path: string;
  /** What is wrong and what to write instead. */
  readonly message: string;
}

/** Maximum length of a document, in characters. */
export const MAX_DOCUMENT_CHARACTERS = 1_048_576;

interface Source {
  readonly document: Document;
  readonly counter: LineCounter;
}

/** Finds the position of a path in a document, or of its nearest existing parent. */
function findPosition({ document, counter }: Source, path: readonly PropertyKey[]) {
  for (let { length } = path; length >= 0; length -= 1) {
    const node = document.getIn(path.slice(0, length), true) as
      { range?: [number, number, number] } | undefined;
    if (node?.range !== undefined) return counter.linePos(node.range[0]);
  }
  return { line: 1, col: 1 };
}

/** Finds the position of a key below a path; undefined when there is none. */
function findKeyPosition({ document, counter }: Source, path: readonly PropertyKey[], key: string) {
  const parent = path.length === 0 ? document.contents : document.getIn(path, true);
  let offset: number | undefined;
  visit(parent as Document['contents'], {
    Pair: (_, pair, ancestors) => {
      if (ancestors.length > 1 || !isPair(pair) || !isScalar(pair.key)) return;
      if (pair.key.value === key) offset = pair.key.range?.[0];
    },
  });
  return offset === undefined ? undefined : counter.linePos(offset);
}

/** Makes a fault at the position of a path. */
function makeFault(source: Source, { path, message }: CheckFault): ConfigFault {
  const { line, col } = findPosition(source, path);
  return { line, column: col, path: path.join('.'), message };
}

/** Makes the fault of a schema issue; for an unknown key, at the position of the key. */
function makeIssueFault(source: Source, issue: z.core.$ZodIssue): ConfigFault {
  const isMissing = source.document.getIn(issue.path, true) === undefined;
  const message = formatIssue(issue, isMissing);
  const fault = makeFault(source, { path: issue.path, message });
  if (issue.code !== 'unrecognized_keys') return fault;
  const position = findKeyPosition(source, issue.path, issue.keys[0] ?? '');
  return position === undefined ? fault : { ...fault, line: position.line, column: position.col };
}

/** Makes a fault that concerns the whole document. */
function makeDocumentFault(message: string): readonly ConfigFault[] {
  return [{ line: 1, column: 1, path: '', message }];
}

/** Converts a document to plain values; fails when its aliases expand to too many nodes. */
function readValues(document: Document): Result<unknown, readonly ConfigFault[]> {
  try {
    return Ok(document.toJS() as unknown);
  } catch {
    return Err(makeDocumentFault('aliases expand too far; write the values out'));
  }
}

/**
 * Parses YAML text and validates it against a schema, then with an optional further check. Each
 * step runs only when the one before found no fault, so an error may not list all faults.
 */
export function parseYaml<T>(
  text: string,
  schema: z.ZodType<T>,
  check: (value: T) => readonly CheckFault[] = () => [],
): Result<T, readonly ConfigFault[]> {
  if (text.length > MAX_DOCUMENT_CHARACTERS) {
    return Err(makeDocumentFault(`too long; write at most ${MAX_DOCUMENT_CHARACTERS} characters`));
  }
  const counter = new LineCounter();
  const document = parseDocument(text, { lineCounter: counter, prettyErrors: false });
  const source = { document, counter };
  const syntaxFaults = document.errors.map((error) => {
    const { line, col } = counter.linePos(error.pos[0]);
    const message = `${error.message.split('\n')[0] ?? error.code}; correct the YAML here`;
    return { line, column: col, path: '', message };
  });
  if (syntaxFaults.length > 0) return Err(syntaxFaults);
  return readValues(document).andThen((values) => {
    const checked = schema.safeParse(values);
    if (!checked.success) {
      return Err(checked.error.issues.map((issue) => makeIssueFault(source, issue)));
    }
    const faults = check(checked.data).map((fault) => makeFault(source, fault));
    return faults.length > 0 ? Err(faults) : Ok(checked.data);
  });
}

/**
 * Parses and checks a configuration document; an error lists its faults. The result does not depend
 * on the date.
 */
export function parseConfig(text: string): Result<Config, readonly ConfigFault[]> {
  return parseYaml(text, configSchema as unknown as z.ZodType<Config>, checkConfig);
}

/**
 * Lists the warnings of a document: what is allowed but likely a mistake, such as an end date
 * before `nowMs`, in milliseconds since 1970. For a document that is not YAML or
 * that the schema rejects, the list has its faults instead.
 */
export function listWarnings(text: string, nowMs: number): readonly ConfigFault[] {
  const checkDatesNow = (config: Config) => checkDates(config, nowMs);
  const parsed = parseYaml(text, configSchema as unknown as z.ZodType<Config>, checkDatesNow);
  return parsed.isErr() ? parsed.error : [];
}
