/**
 * Carries out maintenance while this entry holds the duty: observes losses, plans waves, requests
 * permits and takes open permits through drain, reboot and restore. All durable state is in the
 * log; the state kept here is lost with the entry and rebuilt by the next holder.
 */
import {
  createAbsences,
  createExecutorState,
  createPolicyLookup,
  decidePermitActions,
  planObservation,
  planWaves,
  renderWaveDecision,
  DEFAULT_WAVE_SETTINGS,
  type FleetState,
  type Instance,
  type ListReading,
  type MaintenanceRecord,
  type PermitAction,
  type PermitOperation,
  type Pools,
  type WaveDecision,
} from 'vanilladock';
import type { DecisionLog } from './decision-log.js';
import { makeHead } from './record-head.js';

/** Dependencies and settings of the maintenance duty. */
export interface MaintenanceOptions {
  readonly entryId: string;
  /** Carries out the operations of permits on the platform. */
  readonly pools: Pools;
  /** Counts the tasks and requests that run on each instance; absent where unknown. */
  readonly countWork: () => ReadonlyMap<string, number>;
  readonly decisions: DecisionLog;
  /** Time in milliseconds for which an instance must be absent to count as lost. */
  readonly lostAfterMs: number;
  /** Time after a confirmed reboot before the list shows its effect, in milliseconds. */
  readonly settleMs: number;
}

/** Input of one round. */
export interface MaintenanceRound {
  readonly state: FleetState;
  /** The newest list of instances. */
  readonly list: ListReading;
  /** Every instance as last listed, including those missing from the newest list. */
  readonly known: ReadonlyMap<string, Instance>;
  /** Fencing token of the claim on maintenance. */
  readonly fence: number;
}

/** Maintenance duty of one entry. */
export interface MaintenanceDuty {
  /**
   * Runs one round and returns the records to append to the log. Operations of permits are started
   * but not waited for; their results count from the next round on.
   */
  readonly runRound: (round: MaintenanceRound) => readonly MaintenanceRecord[];
  /**
   * Discards the state in memory; called while this entry does not hold the duty. Operations in
   * progress are not interrupted.
   */
  readonly reset: () => void;
}

/** Creates the duty with empty state. */
export function createMaintenanceDuty(options: MaintenanceOptions): MaintenanceDuty {
  const { entryId, pools, decisions } = options;
  /** Confirmed operations, as `permitId/operation`. */
  const confirmedKeys = new Set<string>();
  const endedPermits = new Set<string>();
  const runningKeys = new Set<string>();
  /**
   * End of the log when a permit was last requested, by instance: each log state allows one
   * request.
   */
  const requestEnds = new Map<string, number>();
  let absences = createAbsences();
  let executor = createExecutorState();
  /** Fencing token of the first round; undefined while this entry does not hold the duty. */
  let heldSince: number | undefined;

  const logWave = (decision: WaveDecision) => {
    const subject = decision.kind === 'wave-stopped' ? decision.wave : decision.pool;
    const message = renderWaveDecision(decision);
    decisions.logDecision(`wave/${subject}`, { event: 'wave', message, ...decision });
  };
  const runOperation = async (operation: PermitOperation, instanceId: string, permitId: string) => {
    const key = `${permitId}/${operation}`;
    if (runningKeys.has(key)) return;
    runningKeys.add(key);
    const result = await pools[operation](instanceId, permitId);
    runningKeys.delete(key);
    if (result.isOk()) confirmedKeys.add(key);
    else if (result.error.kind === 'refused') endedPermits.add(permitId);
    const outcome = result.isOk() ? 'done' : result.error.kind;
    decisions.logDecision(key, { event: 'operation', operation, instanceId, permitId, outcome });
  };
  const applyAction = (action: PermitAction): readonly MaintenanceRecord[] => {
    switch (action.kind) {
      case 'operation':
        void runOperation(action.operation, action.instanceId, action.permitId);
        return [];
      case 'checkpoint':
        decisions.logDecision(`checkpoint/${action.instanceId}`, {
          event: 'drain-waits',
          instanceId: action.instanceId,
          tasks: action.tasks,
        });
        return [];
      case 'outcome': {
        const { permitOffset, instanceId, result, reason } = action;
        const fields = { event: 'permit-ended', instanceId, result, reason };
        decisions.logDecision(`outcome/${permitOffset}`, fields);
        const head = makeHead(entryId);
        return [{ ...head, kind: 'maintenance.outcome', permitOffset, instanceId, result }];
      }
      default:
        return action satisfies never;
    }
  };
  const planPermits = ({ state, known, fence }: MaintenanceRound) => {
    const input = {
      fleet: state.capacity,
      instances: known,
      policyOf: createPolicyLookup(state.config.config),
      nowMs: Date.now(),
      settings: DEFAULT_WAVE_SETTINGS,
    };
    const planned = planWaves(input);
    planned.forEach(logWave);
    return planned.flatMap((decision): readonly MaintenanceRecord[] => {
      if (decision.kind !== 'permit' || requestEnds.get(decision.instanceId) === state.next)
        return [];
      requestEnds.set(decision.instanceId, state.next);
      const { instanceId, wave, isCanary } = decision;
      const head = makeHead(entryId);
      return [{ ...head, kind: 'maintenance.permit', instanceId, wave, isCanary, fence }];
    });
  };
  const planLosses = ({ state, list, fence }: MaintenanceRound) => {
    const plan = planObservation(state.capacity, absences, list, options.lostAfterMs);
    absences = plan.absences;
    const { lost, returned } = plan;
    if (lost.length + returned.length === 0) return [];
    decisions.logDecision('losses', { event: 'observation', lost, returned });
    return [
      { ...makeHead(entryId), kind: 'maintenance.observation', lost, returned, fence } as const,
    ];
  };
  const runPermits = ({ state, list, known, fence }: MaintenanceRound) => {
    heldSince ??= fence;
    const observed = {
      list,
      instances: known,
      work: options.countWork(),
      isConfirmed: (permitId: string, operation: PermitOperation) =>
        confirmedKeys.has(`${permitId}/${operation}`),
      isEnded: (permitId: string) => endedPermits.has(permitId),
      heldSince,
      policyOf: createPolicyLookup(state.config.config),
      atMs: Date.now(),
    };
    const step = decidePermitActions(executor, state.capacity, observed, performance.now(), {
      settleMs: options.settleMs,
    });
    executor = step.state;
    return step.actions.flatMap(applyAction);
  };
  return {
    runRound: (round) => [...runPermits(round), ...planLosses(round), ...planPermits(round)],
    reset: () => {
      executor = createExecutorState();
      heldSince = undefined;
      absences = createAbsences();
      confirmedKeys.clear();
      endedPermits.clear();
      requestEnds.clear();
    },
  };
}
