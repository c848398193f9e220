/**
 * A planner's client of the log: it appends batches, repeats an append whose answer was lost, and
 * blocks planning until it has read back what it appended. Reading back also renews the entry's
 * routing lease.
 */
import {
  createEntryLease,
  isRoutingAllowed,
  BARRIER_SETTINGS,
  isAcknowledgementDue,
  observeReadBack,
  recordAcknowledgement,
  type LogRecord,
  type Random,
} from 'vanilladock';
import type { CapacityState } from 'vanilladock/lib/maintenance/capacity.js';
import type { FakeLog } from './platform.js';
import { SECOND_MS } from './environment.js';

const MAX_LOG_LAG_MS = 6 * SECOND_MS;

/** A record without the fields that all records share. */
export type Body = LogRecord extends infer R
  ? R extends LogRecord
    ? Omit<R, 'version' | 'id' | 'by' | 'at'>
    : never
  : never;

/** One process's client of the log. */
export interface LogClient {
  /** Appends bodies as one batch, with an acknowledgement when one is due. */
  readonly send: (bodies: readonly Body[], nowMs: number) => void;
  /**
   * Reads new records and repeats an unconfirmed append; false while a batch is not yet read back.
   */
  readonly refresh: (nowMs: number) => boolean;
  readonly getState: () => CapacityState;
  readonly isRouting: (nowMs: number) => boolean;
}

/** Creates the client of the process `name`. */
export function createLogClient(name: string, log: FakeLog, random: Random): LogClient {
  let recordCount = 0;
  let offset = -1;
  let pendingBatch: { readonly batch: readonly LogRecord[]; isStored: boolean } | undefined;
  let lease = createEntryLease();
  const makeRecord = (body: Body, nowMs: number): LogRecord => {
    recordCount += 1;
    return { version: 1, id: `${name}-${recordCount}`, by: name, at: nowMs, ...body };
  };
  const listDueAcknowledgements = (nowMs: number): readonly LogRecord[] => {
    const { pools } = log.getState(offset);
    if (!isAcknowledgementDue(lease, pools, name, nowMs, BARRIER_SETTINGS)) return [];
    const body = { kind: 'pool.acknowledgement', entryId: name, appliedOffset: offset } as const;
    const record = makeRecord(body, nowMs);
    lease = recordAcknowledgement(lease, record.id, nowMs);
    return [record];
  };
  const send = (bodies: readonly Body[], nowMs: number): void => {
    const batch = [
      ...bodies.map((body) => makeRecord(body, nowMs)),
      ...listDueAcknowledgements(nowMs),
    ];
    if (batch.length === 0) return;
    pendingBatch = { batch, isStored: log.append(batch, nowMs) === 'stored' };
  };
  const readNewRecords = (nowMs: number): void => {
    const visibleOffset = log.getOffsetAt(nowMs - random() * MAX_LOG_LAG_MS);
    for (; offset < visibleOffset; offset += 1) {
      const record = log.getRecord(offset + 1);
      if (record?.by === name) lease = observeReadBack(lease, record.id);
      if (pendingBatch?.batch.at(-1)?.id === record?.id) pendingBatch = undefined;
    }
  };
  const refresh = (nowMs: number): boolean => {
    readNewRecords(nowMs);
    if (pendingBatch === undefined) return true;
    if (!pendingBatch.isStored)
      pendingBatch.isStored = log.append(pendingBatch.batch, nowMs) === 'stored';
    return false;
  };
  return {
    send,
    refresh,
    getState: () => log.getState(offset),
    isRouting: (nowMs) => isRoutingAllowed(lease, nowMs, BARRIER_SETTINGS),
  };
}
