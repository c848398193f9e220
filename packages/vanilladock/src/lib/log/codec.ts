/**
 * Text form of records in the log: one JSON object each. Records of an unknown kind or a newer
 * version are reported as unknown and skipped, never fatal.
 */
import { DOMAINS } from './domains.js';
import type { LogRecord } from './record.js';

const KNOWN_VERSION = 1;

const SNAPSHOT_KIND: LogRecord['kind'] = 'log.snapshot';

/** Every kind of record that this version understands: snapshots, and what some domain folds. */
export const RECORD_KINDS: ReadonlySet<string> = new Set([
  SNAPSHOT_KIND,
  ...Object.values(DOMAINS).flatMap(({ kinds }) => kinds),
]);

/** Encodes a record for the log. */
export function encodeRecord(record: LogRecord): string {
  return JSON.stringify(record);
}

/** Parses JSON; undefined when it is none. */
function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

/** Says whether a value carries what every record must. */
function hasHead(value: Partial<LogRecord>): boolean {
  const { id, by, at } = value;
  return typeof id === 'string' && typeof by === 'string' && typeof at === 'number';
}

/** Decodes a stored text; undefined for what this version does not know. */
export function decodeRecord(text: string): LogRecord | undefined {
  const value = parseJson(text) as Partial<LogRecord> | undefined | null;
  if (value === undefined || value === null || typeof value !== 'object') return undefined;
  const isKnown = value.version === KNOWN_VERSION && RECORD_KINDS.has(value.kind ?? '');
  return isKnown && hasHead(value) ? (value as LogRecord) : undefined;
}
