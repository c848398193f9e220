/**
 * The platform as planners meet it: a log whose answers get lost before or after the effect, a list
 * that lags, and drain, reboot and restore that are idempotent by permit and refused once restored.
 */
import {
  type Instance,
  type LogRecord,
  type PermitOperation,
  type PolicyOf,
  type Random,
} from 'vanilladock';
import { foldCapacity, type CapacityState } from 'vanilladock/lib/maintenance/capacity.js';
import { getRebootMs, MINUTE_MS, SECOND_MS, type Downtime, type World } from './world.js';

/** What an append told its caller. */
export type AppendAnswer = 'stored' | 'unknown';

/** Answers of operations. */
export type OperationAnswer = 'done' | 'unknown' | 'refused';

const LOST_BEFORE_SHARE = 0.01;
const LOST_AFTER_SHARE = 0.02;
const LEAST_DRAIN_MS = 10 * SECOND_MS;
const MOST_DRAIN_MS = 60 * SECOND_MS;
const STATES_KEPT = 4096;
const BUCKET_MS = 10 * MINUTE_MS;

/** A log that keeps the folded state of its newest offsets. */
export interface FakeLog {
  readonly append: (records: readonly LogRecord[], nowMs: number) => AppendAnswer;
  /** Gets the offset of the newest record stored by a time. */
  readonly getOffsetAt: (atMs: number) => number;
  readonly getState: (offset: number) => CapacityState;
  readonly getRecord: (offset: number) => LogRecord | undefined;
  readonly getNewest: () => number;
}

/** Creates a log over a first state. */
export function createFakeLog(first: CapacityState, policyOf: PolicyOf, random: Random): FakeLog {
  const states = new Map<number, CapacityState>([[-1, first]]);
  const records = new Map<number, { readonly record: LogRecord; readonly atMs: number }>();
  let newest = -1;
  const appendOne = (record: LogRecord, atMs: number): void => {
    const state = states.get(newest) ?? first;
    newest += 1;
    states.set(newest, foldCapacity(state, { offset: newest, record }, policyOf));
    records.set(newest, { record, atMs });
    states.delete(newest - STATES_KEPT);
    records.delete(newest - STATES_KEPT);
  };
  const append = (batch: readonly LogRecord[], nowMs: number): AppendAnswer => {
    const luck = random();
    if (luck < LOST_BEFORE_SHARE) return 'unknown';
    batch.forEach((record) => appendOne(record, nowMs));
    return luck < LOST_AFTER_SHARE ? 'unknown' : 'stored';
  };
  const getOffsetAt = (atMs: number): number => {
    let offset = newest;
    while ((records.get(offset)?.atMs ?? -Infinity) > atMs) offset -= 1;
    return offset;
  };
  return {
    append,
    getOffsetAt,
    getState: (offset) => states.get(Math.max(offset, newest - STATES_KEPT + 1)) ?? first,
    getRecord: (offset) => records.get(offset)?.record,
    getNewest: () => newest,
  };
}

/** The true state of an instance under a permit. */
interface Stop {
  readonly permitId: string;
  readonly idleAtMs: number;
  rebootUntilMs: number | undefined;
}

/** The platform's instances. */
export interface FakePlatform {
  readonly applyOperation: (
    operation: PermitOperation,
    instanceId: string,
    permitId: string,
    nowMs: number,
  ) => OperationAnswer;
  /** Lists all instances; those that are down show as leaving. */
  readonly listInstances: (atMs: number) => ReadonlyMap<string, Instance>;
  readonly countWork: (instanceId: string, nowMs: number) => number;
  /** Ids of instances that are drained or rebooting by permit. */
  readonly stops: ReadonlyMap<string, unknown>;
  /** Called just before an instance goes down by permit. */
  readonly onReboot: { handle: (instanceId: string, nowMs: number) => void };
}

/** The downtime of one instance. */
interface DatedDowntime extends Downtime {
  readonly id: string;
}

/** Groups downtimes by the stretches of time that they touch. */
function groupDowntimes(world: World): ReadonlyMap<number, readonly DatedDowntime[]> {
  const buckets = new Map<number, DatedDowntime[]>();
  world.downtimes.forEach((downtimes, id) =>
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

/** Creates the platform over a world. */
export function createFakePlatform(world: World, random: Random): FakePlatform {
  const stops = new Map<string, Stop>();
  const ended = new Set<string>();
  const reboots = new Map<string, DatedDowntime>();
  const onReboot = { handle: (_id: string, _nowMs: number): void => undefined };
  const start = (stop: Stop, id: string, nowMs: number): void => {
    if (stop.rebootUntilMs !== undefined) return;
    onReboot.handle(id, nowMs);
    stop.rebootUntilMs = nowMs + getRebootMs(world, id, !reboots.has(id));
    reboots.set(id, { id, fromMs: nowMs, untilMs: stop.rebootUntilMs });
  };
  const applyOperation = (
    operation: PermitOperation,
    id: string,
    permitId: string,
    nowMs: number,
  ) => {
    if (random() < LOST_BEFORE_SHARE) return 'unknown';
    if (operation === 'restore') {
      ended.add(permitId);
      if (stops.get(id)?.permitId === permitId) stops.delete(id);
    } else {
      if (ended.has(permitId)) return 'refused';
      const known = stops.get(id);
      const drainMs = LEAST_DRAIN_MS + random() * (MOST_DRAIN_MS - LEAST_DRAIN_MS);
      const stop =
        known?.permitId === permitId
          ? known
          : { permitId, idleAtMs: nowMs + drainMs, rebootUntilMs: undefined };
      stops.set(id, stop);
      if (operation === 'reboot') start(stop, id, nowMs);
    }
    return random() < LOST_BEFORE_SHARE ? 'unknown' : 'done';
  };
  const countWork = (id: string, nowMs: number): number => {
    const stop = stops.get(id);
    return stop !== undefined && nowMs >= stop.idleAtMs ? 0 : 1;
  };
  const leaving = new Map(
    [...world.instances].map(([id, instance]) => [id, { ...instance, state: 'leaving' } as const]),
  );
  const buckets = groupDowntimes(world);
  const listInstances = (atMs: number): ReadonlyMap<string, Instance> => {
    const list = new Map<string, Instance>(world.instances);
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
