/**
 * The duty of writing snapshots: its holder appends the folded state again well before the log drops
 * the newest snapshot, so that a new entry can start from the log alone.
 */
import { randomUUID } from 'node:crypto';
import { buildSnapshot, type StoredRecord } from 'vanilladock';
import type { JsonLog } from './json-log.js';
import type { LogAppender } from './log-appender.js';
import type { LogFollower } from './log-follower.js';

/** The duty's name. */
export const SNAPSHOTS_DUTY = 'log-snapshots';

/** When snapshots are written. */
export interface SnapshotPolicy {
  /** Longest time between two snapshots, in milliseconds. */
  readonly maxAgeMs: number;
  /** Shortest time between two snapshots, in milliseconds. */
  readonly minAgeMs: number;
  /** Records after which the next snapshot is due. */
  readonly maxRecords: number;
}

/** What writing snapshots needs from the entry. */
export interface SnapshotsOptions {
  readonly id: string;
  readonly follower: Pick<LogFollower, 'store' | 'getFirst'>;
  readonly appender: Pick<LogAppender, 'append'>;
  readonly isHolder: () => boolean;
  readonly log: JsonLog;
  readonly policy?: SnapshotPolicy;
}

/** Writing of snapshots. */
export interface SnapshotWriter {
  readonly stop: () => void;
}

const ROUND_MS = 1_000;
const DEFAULT_POLICY: SnapshotPolicy = {
  maxAgeMs: 1_800_000,
  minAgeMs: 10_000,
  maxRecords: 20_000,
};

/** Starts writing snapshots whenever this entry holds the duty. */
export function startSnapshotWriter(options: SnapshotsOptions): SnapshotWriter {
  const { follower, log } = options;
  const policy = options.policy ?? DEFAULT_POLICY;
  let newest = { offset: -1, atMs: -Infinity };
  let triedAtMs = -Infinity;
  let isWriting = false;

  const observeRecord = ({ offset, text }: StoredRecord) => {
    if (!text.startsWith('{') || !text.includes('"kind":"log.snapshot"')) return;
    if (offset > newest.offset) newest = { offset, atMs: performance.now() };
  };
  const isDue = (): boolean => {
    const { next, config } = follower.store.getState();
    const nowMs = performance.now();
    if (config.version < 0 || nowMs - triedAtMs < policy.minAgeMs) return false;
    const first = follower.getFirst();
    const isInOlderHalf = first > 0 && newest.offset - first < (next - first) / 2;
    const isOld =
      nowMs - newest.atMs >= policy.maxAgeMs || next - newest.offset > policy.maxRecords;
    return newest.offset < 0 || isInOlderHalf || isOld;
  };
  const writeSnapshot = async () => {
    isWriting = true;
    triedAtMs = performance.now();
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
  const timer = setInterval(runRound, ROUND_MS);
  return {
    stop: () => {
      clearInterval(timer);
      subscription.unsubscribe();
    },
  };
}
