/**
 * Encodes and decodes the records of the log as JSON objects. A record of an unknown kind or a
 * newer version is decoded as undefined, so that readers skip it instead of failing.
 */
import { DOMAINS } from './domains.js';
import type { LogRecord } from './record.js';

const KNOWN_VERSION = 1;

const SNAPSHOT_KIND: LogRecord['kind'] = 'log.snapshot';

/** All kinds of records that this version knows: snapshots and the kinds that domains fold. */
export const RECORD_KINDS: ReadonlySet<string> = new Set([
  SNAPSHOT_KIND,
  ...Object.values(DOMAINS).flatMap(({ kinds }) => kinds),
]);

/** Encodes a record for the log. */
export function encodeRecord(record: LogRecord): string {
  return JSON.stringify(record);
}

/** Parses JSON; undefined when the text is not valid JSON. */
function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

/** Says whether a value has the fields that every record requires. */
function hasHead(value: Partial<LogRecord>): boolean {
  const { id, by, at } = value;
  return typeof id === 'string' && typeof by === 'string' && typeof at === 'number';
}

/**
 * Decodes a stored record; undefined when it is malformed or this version does not know it. Only
 * the fields that every record has are checked; a fold that throws on the others is skipped.
 */
export function decodeRecord(text: string): LogRecord | undefined {
  const value = parseJson(text) as Partial<LogRecord> | undefined | null;
  if (value === undefined || value === null || typeof value !== 'object') return undefined;
  const isKnown = value.version === KNOWN_VERSION && RECORD_KINDS.has(value.kind ?? '');
  return isKnown && hasHead(value) ? (value as LogRecord) : undefined;
}
