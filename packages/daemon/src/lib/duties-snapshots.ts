/**
 * The duty of writing snapshots of the folded state to the log. Its holder appends a new snapshot
 * well before the log drops the newest one, so that a new entry can start from the log alone.
 */
import { randomUUID } from 'node:crypto';
import { buildSnapshot, type StoredRecord } from 'vanilladock';
import type { JsonLog } from './json-log.js';
import type { LogAppender } from './log-appender.js';
import type { LogFollower } from './log-follower.js';

/** Name of the snapshot duty. */
export const SNAPSHOTS_DUTY = 'log-snapshots';

/** Limits that decide when a snapshot is due. */
export interface SnapshotPolicy {
  /** Longest time between two snapshots, in milliseconds. */
  readonly maxAgeMs: number;
  /** Shortest time between two snapshots, in milliseconds. */
  readonly minAgeMs: number;
  /** Number of records since the newest snapshot after which the next one is due. */
  readonly maxRecords: number;
}

/** What the snapshot writer needs from the entry. */
export interface SnapshotsOptions {
  readonly id: string;
  readonly follower: Pick<LogFollower, 'store' | 'getOldestOffset'>;
  readonly appender: Pick<LogAppender, 'append'>;
  /** Says whether this entry holds the snapshot duty. */
  readonly isHolder: () => boolean;
  readonly log: JsonLog;
  readonly policy?: SnapshotPolicy;
}

/** A running writer of snapshots of the folded state. */
export interface SnapshotWriter {
  /** Starts no further snapshots; one in progress is still appended. */
  readonly stop: () => void;
}

const ROUND_INTERVAL_MS = 1_000;
const DEFAULT_POLICY: SnapshotPolicy = {
  maxAgeMs: 1_800_000,
  minAgeMs: 10_000,
  maxRecords: 20_000,
};

/** Starts a writer that appends snapshots while this entry holds the duty. */
export function startSnapshotWriter(options: SnapshotsOptions): SnapshotWriter {
  const { follower, log } = options;
  const policy = options.policy ?? DEFAULT_POLICY;
  let newestSnapshot = { offset: -1, atMs: -Infinity };
  let lastAttemptAtMs = -Infinity;
  let isWriting = false;

  const observeRecord = ({ offset, text }: StoredRecord) => {
    if (!text.startsWith('{') || !text.includes('"kind":"log.snapshot"')) return;
    if (offset > newestSnapshot.offset) newestSnapshot = { offset, atMs: performance.now() };
  };
  const isDue = (): boolean => {
    const { next, config } = follower.store.getState();
    const nowMs = performance.now();
    if (config.version < 0 || nowMs - lastAttemptAtMs < policy.minAgeMs) return false;
    const firstOffset = follower.getOldestOffset();
    const isInOlderHalf =
      firstOffset > 0 && newestSnapshot.offset - firstOffset < (next - firstOffset) / 2;
    const isOld =
      nowMs - newestSnapshot.atMs >= policy.maxAgeMs ||
      next - newestSnapshot.offset > policy.maxRecords;
    return newestSnapshot.offset < 0 || isInOlderHalf || isOld;
  };
  const writeSnapshot = async () => {
    isWriting = true;
    lastAttemptAtMs = performance.now();
    const head = { version: 1, id: randomUUID(), by: options.id, at: Date.now() } as const;
    const state = follower.store.getState();
    const parts = buildSnapshot(state, head);
    const result = await options.appender.append(parts);
    isWriting = false;
    const outcome = result.isOk() ? 'written' : result.error.kind;
    log.info({ event: 'snapshot', outcome, throughOffset: state.next - 1, parts: parts.length });
  };
  const runRound = () => {
    if (!isWriting && options.isHolder() && isDue()) void writeSnapshot();
  };

  const subscription = follower.store.records$.subscribe(observeRecord);
  const timer = setInterval(runRound, ROUND_INTERVAL_MS);
  return {
    stop: () => {
      clearInterval(timer);
      subscription.unsubscribe();
    },
  };
}
