/**
 * Runs the control duties of pools and maintenance on this entry. Each round acknowledges the log,
 * plans for each held duty and appends all records in one batch; the fold decides which of them
 * take effect. While the log cannot be read the entry holds no duty, so nothing is planned.
 */
import {
  createAcknowledgementObservations,
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

/** Dependencies and settings of the runner. */
export interface FleetRunnerOptions {
  readonly entryId: string;
  readonly store: Pick<LogStore, 'getState' | 'records$'>;
  readonly appender: Pick<LogAppender, 'append'>;
  readonly duties: Pick<DutiesRunner, 'getFence'>;
  /** The platform's list as last read. */
  readonly getList: () => {
    readonly instances: readonly Instance[];
    /** Monotonic time in milliseconds, taken just before the list was requested. */
    readonly requestedAtMs: number;
  };
  readonly pools: Pools;
  readonly work: WorkCounter;
  readonly log: JsonLog;
  /** Times in milliseconds, as in the settings. */
  readonly times: Settings['fleet'];
}

/** A running fleet runner. */
export interface FleetRunner {
  /**
   * Stops the rounds and announces in the log that this entry leaves. Resolves once the
   * announcement is appended or has failed; a round in progress is not waited for.
   */
  readonly stop: () => Promise<void>;
}

/** Duties that this runner carries out. */
export const FLEET_DUTIES = [MOVES_DUTY, MAINTENANCE_DUTY] as const;

/** Records that were not read back for this long no longer hold up planning. */
const READ_BACK_LIMIT_MS = 15_000;

/** Merges a list into the known instances; those missing from the list keep their last state. */
function mergeInstances(
  known: ReadonlyMap<string, Instance>,
  listed: readonly Instance[],
): ReadonlyMap<string, Instance> {
  return new Map([...known, ...listed.map((instance) => [instance.id, instance] as const)]);
}

/** Starts the runner; its first round follows after one interval. */
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
  let observations = createAcknowledgementObservations();
  let known: ReadonlyMap<string, Instance> = new Map();
  let readBackOffset = -1;
  let appendedAtMs = -Infinity;
  let isBusy = false;

  const readList = (): ListReading => {
    const { instances, requestedAtMs } = options.getList();
    known = mergeInstances(known, instances);
    return {
      instances: new Map(instances.map((instance) => [instance.id, instance])),
      requestedAtMs,
    };
  };
  const planMoves = (state: FleetState, list: ListReading): readonly LogRecord[] => {
    const fence = duties.getFence(MOVES_DUTY);
    const { config } = state.config;
    const { pools } = state.capacity;
    const nowMs = performance.now();
    observations = observeAcknowledgements(observations, pools, nowMs);
    if (fence === undefined || config === undefined) return [];
    const { instances } = list;
    return planJoins({ entryId, fence, pools, config, instances, sightings: observations, nowMs });
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
  /**
   * Says whether the last appended records are yet to be read back; they must not be planned twice.
   */
  const isReadBackPending = () =>
    store.getState().next <= readBackOffset &&
    performance.now() - appendedAtMs < READ_BACK_LIMIT_MS;
  const handleRound = async () => {
    if (isBusy || isReadBackPending()) return;
    isBusy = true;
    try {
      await runRound();
    } catch (error) {
      options.log.error({ event: 'round-failed', duty: 'fleet', reason: String(error) });
    } finally {
      isBusy = false;
    }
  };
  const subscription = store.records$.subscribe(acknowledgements.observeRecord);
  const timer = setInterval(() => void handleRound(), options.times.roundMs);
  return {
    stop: async () => {
      clearInterval(timer);
      subscription.unsubscribe();
      const { next } = store.getState();
      await appender.append([acknowledgements.makeFinal(next - 1)]);
    },
  };
}
