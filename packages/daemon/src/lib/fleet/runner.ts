/**
 * Runs the control duties of pools and maintenance on this entry, round by round: acknowledge the log,
 * and for each duty held, plan, append in one batch and let the fold decide what takes effect. While
 * the log cannot be read no duty is held, so nothing is planned.
 */
import {
  createSightings,
  MAINTENANCE_DUTY,
  MOVES_DUTY,
  observeAcknowledgements,
  type FleetState,
  type Instance,
  type ListReading,
  type LogRecord,
  type Pools,
} from 'vanilladock';
import type { DutiesRunner } from '../duties-runner.js';
import type { JsonLog } from '../json-log.js';
import type { LogAppender } from '../log-appender.js';
import type { LogStore } from '../log-store.js';
import type { Settings } from '../settings.js';
import { createAcknowledgements } from './acknowledgements.js';
import { createDecisionLog } from './decision-log.js';
import { planJoins } from './join-plan.js';
import { createMaintenanceDuty } from './maintenance-duty.js';
import type { WorkCounter } from './work-counter.js';

/** What the runner needs from the entry. */
export interface FleetRunnerOptions {
  readonly entryId: string;
  readonly store: Pick<LogStore, 'getState' | 'records$'>;
  readonly appender: Pick<LogAppender, 'append'>;
  readonly duties: Pick<DutiesRunner, 'getFence'>;
  /** The platform's list as last read. */
  readonly getList: () => {
    readonly instances: readonly Instance[];
    /** Monotonic time before the list was asked for, in milliseconds. */
    readonly askedAtMs: number;
  };
  readonly pools: Pools;
  readonly work: WorkCounter;
  readonly log: JsonLog;
  /** Times in milliseconds, as in the settings. */
  readonly times: Settings['fleet'];
}

/** A running fleet runner. */
export interface FleetRunner {
  /** Says that this entry leaves, and stops. */
  readonly stop: () => Promise<void>;
}

/** Duties that this runner carries out. */
export const FLEET_DUTIES = [MOVES_DUTY, MAINTENANCE_DUTY] as const;

const READ_BACK_LIMIT_MS = 15_000;

/** Remembers every instance as last listed, also those that the newest list lacks. */
function mergeInstances(
  known: ReadonlyMap<string, Instance>,
  listed: readonly Instance[],
): ReadonlyMap<string, Instance> {
  return new Map([...known, ...listed.map((one) => [one.id, one] as const)]);
}

/** Starts the runner. */
export function startFleetRunner(options: FleetRunnerOptions): FleetRunner {
  const { entryId, store, appender, duties } = options;
  const acknowledgements = createAcknowledgements(entryId);
  const maintenance = createMaintenanceDuty({
    entryId,
    pools: options.pools,
    countWork: options.work.getCounts,
    decisions: createDecisionLog(options.log),
    lostAfterMs: options.times.lostAfterMs,
    settleMs: options.times.settleMs,
  });
  let sightings = createSightings();
  let known: ReadonlyMap<string, Instance> = new Map();
  let readBackOffset = -1;
  let appendedAtMs = -Infinity;
  let isBusy = false;

  const readList = (): ListReading => {
    const { instances, askedAtMs } = options.getList();
    known = mergeInstances(known, instances);
    return { instances: new Map(instances.map((one) => [one.id, one])), askedAtMs };
  };
  const planMoves = (state: FleetState, list: ListReading): readonly LogRecord[] => {
    const fence = duties.getFence(MOVES_DUTY);
    const { config } = state.config;
    const { pools } = state.capacity;
    const nowMs = performance.now();
    sightings = observeAcknowledgements(sightings, pools, nowMs);
    if (fence === undefined || config === undefined) return [];
    const { instances } = list;
    return planJoins({ entryId, fence, pools, config, instances, sightings, nowMs });
  };
  const planMaintenance = (state: FleetState, list: ListReading): readonly LogRecord[] => {
    const fence = duties.getFence(MAINTENANCE_DUTY);
    if (fence === undefined) {
      maintenance.reset();
      return [];
    }
    return maintenance.runRound({ state, list, known, fence });
  };
  const runRound = async () => {
    const state = store.getState();
    const due = acknowledgements.listDue(state.capacity.pools, state.next - 1);
    const list = readList();
    await options.work.refresh([...state.capacity.maintenance.permits.keys()]);
    const records = [...due, ...planMoves(state, list), ...planMaintenance(state, list)];
    if (records.length === 0) return;
    appendedAtMs = performance.now();
    const appended = await appender.append(records);
    if (appended.isOk()) readBackOffset = appended.value + records.length - 1;
  };
  /** Says whether what was appended last is still on its way, so that it is not planned again. */
  const isReadBackPending = () =>
    store.getState().next <= readBackOffset &&
    performance.now() - appendedAtMs < READ_BACK_LIMIT_MS;
  const handleRound = async () => {
    if (isBusy || isReadBackPending()) return;
    isBusy = true;
    await runRound();
    isBusy = false;
  };
  const subscription = store.records$.subscribe(acknowledgements.observeRecord);
  const timer = setInterval(() => void handleRound(), options.times.roundMs);
  return {
    stop: async () => {
      clearInterval(timer);
      subscription.unsubscribe();
      const { next } = store.getState();
      await appender.append([acknowledgements.makeLeaving(next - 1)]);
    },
  };
}
