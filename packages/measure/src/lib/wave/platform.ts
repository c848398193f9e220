/**
 * The simulated platform: a log whose answers are lost before or after the append takes effect, an
 * instance list that may be read late, and the operations drain, reboot and restore, which are
 * idempotent by permit and refused after the permit's restore.
 */
import {
  type Instance,
  type LogRecord,
  type PermitOperation,
  type PolicyOf,
  type Random,
} from 'vanilladock';
import { foldCapacity, type CapacityState } from 'vanilladock/lib/maintenance/capacity.js';
import {
  getRebootMs,
  MINUTE_MS,
  SECOND_MS,
  type Downtime,
  type Environment,
} from './environment.js';

/** Answer to an append; `unknown` when it was lost, with or without effect. */
export type AppendAnswer = 'stored' | 'unknown';

/** Answer to an operation; `unknown` when it was lost, with or without effect. */
export type OperationAnswer = 'done' | 'unknown' | 'refused';

/**
 * Probability that an append or an operation is lost before it takes effect, and also that an
 * operation's answer is lost.
 */
const LOST_BEFORE_PROBABILITY = 0.01;
/** Probability that either an append or its answer is lost; includes the one above. */
const LOST_AFTER_PROBABILITY = 0.02;
const MIN_DRAIN_MS = 10 * SECOND_MS;
const MAX_DRAIN_MS = 60 * SECOND_MS;
const MAX_KEPT_STATES = 4096;
/** Width of the time buckets by which downtimes are looked up. */
const BUCKET_MS = 10 * MINUTE_MS;

/** A simulated log; it keeps the records and the folded states of its newest 4096 offsets. */
export interface FakeLog {
  /** Appends all records of a batch or none of them. */
  readonly append: (records: readonly LogRecord[], nowMs: number) => AppendAnswer;
  /** Gets the offset of the newest record that was stored at `atMs` or before; -1 without one. */
  readonly getOffsetAt: (atMs: number) => number;
  /**
   * Gets the state after the record at an offset, or the initial state for -1. For a dropped offset
   * it returns the oldest state that is kept.
   */
  readonly getState: (offset: number) => CapacityState;
  /** Gets the record at an offset; undefined when it was dropped or is not yet stored. */
  readonly getRecord: (offset: number) => LogRecord | undefined;
  /** Gets the offset of the newest record; -1 without one. */
  readonly getNewest: () => number;
}

/** Creates a log that starts from the state `first`. */
export function createFakeLog(first: CapacityState, policyOf: PolicyOf, random: Random): FakeLog {
  const states = new Map<number, CapacityState>([[-1, first]]);
  const records = new Map<number, { readonly record: LogRecord; readonly atMs: number }>();
  let newest = -1;
  const appendRecord = (record: LogRecord, atMs: number): void => {
    const state = states.get(newest) ?? first;
    newest += 1;
    states.set(newest, foldCapacity(state, { offset: newest, record }, policyOf));
    records.set(newest, { record, atMs });
    states.delete(newest - MAX_KEPT_STATES);
    records.delete(newest - MAX_KEPT_STATES);
  };
  const append = (batch: readonly LogRecord[], nowMs: number): AppendAnswer => {
    const draw = random();
    if (draw < LOST_BEFORE_PROBABILITY) return 'unknown';
    batch.forEach((record) => appendRecord(record, nowMs));
    return draw < LOST_AFTER_PROBABILITY ? 'unknown' : 'stored';
  };
  const getOffsetAt = (atMs: number): number => {
    let offset = newest;
    while ((records.get(offset)?.atMs ?? -Infinity) > atMs) offset -= 1;
    return offset;
  };
  return {
    append,
    getOffsetAt,
    getState: (offset) => states.get(Math.max(offset, newest - MAX_KEPT_STATES + 1)) ?? first,
    getRecord: (offset) => records.get(offset)?.record,
    getNewest: () => newest,
  };
}

/** The actual state of an instance under a permit. */
interface PlannedStop {
  readonly permitId: string;
  readonly idleAtMs: number;
  rebootUntilMs: number | undefined;
}

/** The simulated instances and the operations on them. */
export interface FakePlatform {
  readonly applyOperation: (
    operation: PermitOperation,
    instanceId: string,
    permitId: string,
    nowMs: number,
  ) => OperationAnswer;
  /** Lists all instances as of `atMs`; those that are down are listed as `leaving`. */
  readonly listInstances: (atMs: number) => ReadonlyMap<string, Instance>;
  /** Counts an instance's remaining work; 0 once it is drained. */
  readonly countWork: (instanceId: string, nowMs: number) => number;
  /** Instances under a permit from the start of their drain to their restore, by id. */
  readonly stops: ReadonlyMap<string, unknown>;
  /** Called just before an instance goes down under a permit. */
  readonly onReboot: { handle: (instanceId: string, nowMs: number) => void };
}

/** The downtime of one instance. */
interface DatedDowntime extends Downtime {
  readonly id: string;
}

/** Groups downtimes by the time buckets that they overlap. */
function groupDowntimes(environment: Environment): ReadonlyMap<number, readonly DatedDowntime[]> {
  const buckets = new Map<number, DatedDowntime[]>();
  environment.downtimes.forEach((downtimes, id) =>
    downtimes.forEach(({ fromMs, untilMs }) => {
      const last = Math.floor(untilMs / BUCKET_MS);
      for (let bucket = Math.floor(fromMs / BUCKET_MS); bucket <= last; bucket += 1) {
        const list = buckets.get(bucket) ?? [];
        list.push({ id, fromMs, untilMs });
        buckets.set(bucket, list);
      }
    }),
  );
  return buckets;
}

/** Creates the platform of an environment. */
export function createFakePlatform(environment: Environment, random: Random): FakePlatform {
  const stops = new Map<string, PlannedStop>();
  const restoredPermits = new Set<string>();
  const reboots = new Map<string, DatedDowntime>();
  const onReboot = { handle: (_id: string, _nowMs: number): void => undefined };
  const startReboot = (stop: PlannedStop, id: string, nowMs: number): void => {
    if (stop.rebootUntilMs !== undefined) return;
    onReboot.handle(id, nowMs);
    stop.rebootUntilMs = nowMs + getRebootMs(environment, id, !reboots.has(id));
    reboots.set(id, { id, fromMs: nowMs, untilMs: stop.rebootUntilMs });
  };
  const applyOperation = (
    operation: PermitOperation,
    id: string,
    permitId: string,
    nowMs: number,
  ) => {
    if (random() < LOST_BEFORE_PROBABILITY) return 'unknown';
    if (operation === 'restore') {
      restoredPermits.add(permitId);
      if (stops.get(id)?.permitId === permitId) stops.delete(id);
    } else {
      if (restoredPermits.has(permitId)) return 'refused';
      const known = stops.get(id);
      const drainMs = MIN_DRAIN_MS + random() * (MAX_DRAIN_MS - MIN_DRAIN_MS);
      const stop =
        known?.permitId === permitId
          ? known
          : { permitId, idleAtMs: nowMs + drainMs, rebootUntilMs: undefined };
      stops.set(id, stop);
      if (operation === 'reboot') startReboot(stop, id, nowMs);
    }
    return random() < LOST_BEFORE_PROBABILITY ? 'unknown' : 'done';
  };
  const countWork = (id: string, nowMs: number): number => {
    const stop = stops.get(id);
    return stop !== undefined && nowMs >= stop.idleAtMs ? 0 : 1;
  };
  const leaving = new Map(
    [...environment.instances].map(([id, instance]) => [
      id,
      { ...instance, state: 'leaving' } as const,
    ]),
  );
  const buckets = groupDowntimes(environment);
  const listInstances = (atMs: number): ReadonlyMap<string, Instance> => {
    const list = new Map<string, Instance>(environment.instances);
    const applyDowntime = ({ id, fromMs, untilMs }: DatedDowntime): void => {
      const instance = leaving.get(id);
      if (instance !== undefined && fromMs <= atMs && atMs < untilMs) list.set(id, instance);
    };
    buckets.get(Math.floor(atMs / BUCKET_MS))?.forEach(applyDowntime);
    reboots.forEach(applyDowntime);
    return list;
  };
  return { applyOperation, listInstances, countWork, stops, onReboot };
}
