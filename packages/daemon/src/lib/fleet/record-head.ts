/** Heads of the records that this entry writes. */
import { randomUUID } from 'node:crypto';
import type { RecordHead } from 'vanilladock';

/** Makes the head of a new record by the entry with id `by`, at the current wall clock time. */
export function makeHead(by: string): RecordHead {
  return { version: 1, id: randomUUID(), by, at: Date.now() };
}
