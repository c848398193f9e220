/**
 * A planner's side of the log: it appends batches, appends them again when the answer was lost, and
 * plans nothing until it has read back what it wrote. The entry's lease on routing rests on the same
 * reading.
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
import { SECOND_MS } from './world.js';

const LOG_LAG_MS = 6 * SECOND_MS;

/** A record without its head. */
export type Body = LogRecord extends infer R
  ? R extends LogRecord
    ? Omit<R, 'version' | 'id' | 'by' | 'at'>
    : never
  : never;

/** One process's view of the log. */
export interface LogClient {
  /** Appends bodies as one batch, with an acknowledgement when one is due. */
  readonly send: (bodies: readonly Body[], nowMs: number) => void;
  /** Reads on, and appends what may be lost again; false while something is not yet read back. */
  readonly refresh: (nowMs: number) => boolean;
  readonly getState: () => CapacityState;
  readonly isRouting: (nowMs: number) => boolean;
}

/** Creates the view of one process. */
export function createLogClient(name: string, log: FakeLog, random: Random): LogClient {
  let serial = 0;
  let offset = -1;
  let unread: { readonly batch: readonly LogRecord[]; isStored: boolean } | undefined;
  let lease = createEntryLease();
  const makeRecord = (body: Body, nowMs: number): LogRecord => {
    serial += 1;
    return { version: 1, id: `${name}-${serial}`, by: name, at: nowMs, ...body };
  };
  const listWords = (nowMs: number): readonly LogRecord[] => {
    const { pools } = log.getState(offset);
    if (!isAcknowledgementDue(lease, pools, name, nowMs, BARRIER_SETTINGS)) return [];
    const body = { kind: 'pool.acknowledgement', entryId: name, appliedOffset: offset } as const;
    const record = makeRecord(body, nowMs);
    lease = recordAcknowledgement(lease, record.id, nowMs);
    return [record];
  };
  const send = (bodies: readonly Body[], nowMs: number): void => {
    const batch = [...bodies.map((body) => makeRecord(body, nowMs)), ...listWords(nowMs)];
    if (batch.length === 0) return;
    unread = { batch, isStored: log.append(batch, nowMs) === 'stored' };
  };
  const readOn = (nowMs: number): void => {
    const known = log.getOffsetAt(nowMs - random() * LOG_LAG_MS);
    for (; offset < known; offset += 1) {
      const record = log.getRecord(offset + 1);
      if (record?.by === name) lease = observeReadBack(lease, record.id);
      if (unread?.batch.at(-1)?.id === record?.id) unread = undefined;
    }
  };
  const refresh = (nowMs: number): boolean => {
    readOn(nowMs);
    if (unread === undefined) return true;
    if (!unread.isStored) unread.isStored = log.append(unread.batch, nowMs) === 'stored';
    return false;
  };
  return {
    send,
    refresh,
    getState: () => log.getState(offset),
    isRouting: (nowMs) => isRoutingAllowed(lease, nowMs, BARRIER_SETTINGS),
  };
}
