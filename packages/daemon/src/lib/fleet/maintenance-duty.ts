/**
 * Carries out maintenance while this entry holds the duty: observes losses, plans waves, asks for
 * permits and takes open permits through drain, reboot and restore. All state that must last is in the
 * log; what is kept here is lost with the entry and built anew by the next holder.
 */
import {
  createAbsences,
  createExecutorState,
  createPolicyOf,
  decidePermitActions,
  planObservation,
  planWaves,
  renderWaveDecision,
  WAVE_SETTINGS,
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

/** What maintenance needs from the entry. */
export interface MaintenanceOptions {
  readonly entryId: string;
  readonly pools: Pools;
  /** Tasks and requests that run on each instance; absent when unknown. */
  readonly countWork: () => ReadonlyMap<string, number>;
  readonly decisions: DecisionLog;
  /** Absence after which an instance counts as lost, in milliseconds. */
  readonly lostAfterMs: number;
  /** Time after a confirmed reboot before the list shows its effect, in milliseconds. */
  readonly settleMs: number;
}

/** What one round is decided from. */
export interface MaintenanceRound {
  readonly state: FleetState;
  readonly list: ListReading;
  /** Every instance as last listed, also those that the newest list lacks. */
  readonly known: ReadonlyMap<string, Instance>;
  /** Fencing token of the claim on maintenance. */
  readonly fence: number;
}

/** Maintenance as one entry carries it out. */
export interface MaintenanceDuty {
  /** Decides one round with a fencing token; lists the records to append. */
  readonly runRound: (round: MaintenanceRound) => readonly MaintenanceRecord[];
  /** Forgets what was under way; the duty has passed to another entry. */
  readonly reset: () => void;
}

/** Creates the duty, not yet held. */
export function createMaintenanceDuty(options: MaintenanceOptions): MaintenanceDuty {
  const { entryId, pools, decisions } = options;
  const confirmed = new Set<string>();
  const underWay = new Set<string>();
  const asked = new Map<string, number>();
  let absences = createAbsences();
  let executor = createExecutorState();

  const logWave = (decision: WaveDecision) => {
    const subject = decision.kind === 'wave-stopped' ? decision.wave : decision.pool;
    const message = renderWaveDecision(decision);
    decisions.logDecision(`wave/${subject}`, { event: 'wave', message, ...decision });
  };
  const runOperation = async (operation: PermitOperation, instanceId: string, permitId: string) => {
    const key = `${permitId}/${operation}`;
    if (underWay.has(key)) return;
    underWay.add(key);
    const result = await pools[operation](instanceId, permitId);
    underWay.delete(key);
    if (result.isOk()) confirmed.add(key);
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
      policyOf: createPolicyOf(state.config.config),
      nowMs: Date.now(),
      settings: WAVE_SETTINGS,
    };
    const planned = planWaves(input);
    planned.forEach(logWave);
    return planned.flatMap((decision): readonly MaintenanceRecord[] => {
      if (decision.kind !== 'permit' || asked.get(decision.instanceId) === state.next) return [];
      asked.set(decision.instanceId, state.next);
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
  const runPermits = ({ state, list, known }: MaintenanceRound) => {
    const seen = {
      list,
      instances: known,
      work: options.countWork(),
      isConfirmed: (permitId: string, operation: PermitOperation) =>
        confirmed.has(`${permitId}/${operation}`),
      policyOf: createPolicyOf(state.config.config),
      atMs: Date.now(),
    };
    const step = decidePermitActions(executor, state.capacity, seen, performance.now(), {
      settleMs: options.settleMs,
    });
    executor = step.state;
    return step.actions.flatMap(applyAction);
  };
  return {
    runRound: (round) => [...runPermits(round), ...planLosses(round), ...planPermits(round)],
    reset: () => {
      executor = createExecutorState();
      absences = createAbsences();
      confirmed.clear();
      asked.clear();
    },
  };
}
