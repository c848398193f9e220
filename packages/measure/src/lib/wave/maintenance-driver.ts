/** The maintenance duty of one planner: it records losses, plans permits and executes them. */
import {
  createAbsences,
  createExecutorState,
  decidePermitActions,
  planObservation,
  planWaves,
  DEFAULT_WAVE_SETTINGS,
  type Absences,
  type ExecutorState,
  type ListReading,
  type PermitAction,
  type PolicyOf,
  type Random,
  type WaveDecision,
} from 'vanilladock';
import type { CapacityState } from 'vanilladock/lib/maintenance/capacity.js';
import type { Body } from './log-client.js';
import type { FakePlatform } from './platform.js';
import { SECOND_MS, type Environment } from './environment.js';

const MAX_LIST_LAG_MS = 40 * SECOND_MS;
/** Time of absence from the instance list after which an instance counts as lost. */
const LOST_AFTER_MS = 20 * SECOND_MS;
const STALL_PROBABILITY = 0.002;
/** Time after which waves are planned again although neither pools nor maintenance changed. */
const REPLAN_AFTER_MS = 30 * SECOND_MS;

/** What the maintenance duties of all planners share. */
export interface MaintenanceSetting {
  readonly environment: Environment;
  readonly platform: FakePlatform;
  readonly policyOf: PolicyOf;
  readonly random: Random;
}

/** The maintenance duty. */
export interface MaintenanceDriver {
  /**
   * Runs a round under a fence; returns the records to append. `handleStall` is called when the
   * process stalls between planning its actions and executing them.
   */
  readonly run: (
    state: CapacityState,
    fence: number,
    nowMs: number,
    handleStall: () => void,
  ) => readonly Body[];
  /** Discards the progress of permits; called when the planner doesn't hold the duty. */
  readonly reset: () => void;
  /**
   * Executes the actions that were pending at a stall, without reading the log again; returns the
   * records to append.
   */
  readonly applyStalled: (nowMs: number) => readonly Body[];
  /** Lists the decisions made when waves were last planned. */
  readonly listDecisions: () => readonly WaveDecision[];
}

/** Says whether an action restores an instance. */
function isRestore(action: PermitAction): boolean {
  return action.kind === 'operation' && action.operation === 'restore';
}

/** Creates the maintenance duty of one planner. */
export function createMaintenanceDriver(setting: MaintenanceSetting): MaintenanceDriver {
  const { environment, platform, policyOf, random } = setting;
  const confirmed = new Set<string>();
  const ended = new Set<string>();
  let executor: ExecutorState = createExecutorState();
  let absences: Absences = createAbsences();
  let decisions: readonly WaveDecision[] = [];
  let stalledActions: readonly PermitAction[] = [];
  let planned: { readonly state: CapacityState; readonly atMs: number } | undefined;
  const applyActions = (actions: readonly PermitAction[], nowMs: number): readonly Body[] =>
    actions.flatMap((action): readonly Body[] => {
      switch (action.kind) {
        case 'checkpoint':
          return [];
        case 'operation': {
          const { operation, instanceId, permitId } = action;
          const answer = platform.applyOperation(operation, instanceId, permitId, nowMs);
          if (answer === 'done') confirmed.add(`${permitId}/${operation}`);
          if (answer === 'refused') ended.add(permitId);
          return [];
        }
        case 'outcome': {
          const { instanceId, permitOffset, result } = action;
          return [{ kind: 'maintenance.outcome', instanceId, permitOffset, result }];
        }
        default:
          return action satisfies never;
      }
    });
  const decideActions = (state: CapacityState, list: ListReading, nowMs: number) => {
    const ids = [...state.maintenance.permits.keys()];
    const work = new Map(ids.map((id) => [id, platform.countWork(id, nowMs)]));
    const isConfirmed = (permitId: string, operation: string) =>
      confirmed.has(`${permitId}/${operation}`);
    const isEnded = (permitId: string) => ended.has(permitId);
    const { instances } = environment;
    const known = { list, instances, work, isConfirmed, isEnded, policyOf, atMs: nowMs };
    // This planner keeps its state when another one has held the duty in between.
    const observed = { ...known, heldSince: 0 };
    const step = decidePermitActions(executor, state, observed, nowMs);
    executor = step.state;
    return step.actions;
  };
  const runPermits = (
    state: CapacityState,
    list: ListReading,
    nowMs: number,
    handleStall: () => void,
  ): readonly Body[] => {
    const actions = decideActions(state, list, nowMs);
    if (actions.length > 0 && random() < STALL_PROBABILITY) {
      stalledActions = actions;
      handleStall();
      return [];
    }
    const bodies = applyActions(actions, nowMs);
    if (!actions.some(isRestore)) return bodies;
    const outcomes = decideActions(state, list, nowMs).filter(({ kind }) => kind === 'outcome');
    return [...bodies, ...applyActions(outcomes, nowMs)];
  };
  const planPermits = (
    fleet: CapacityState,
    { instances }: ListReading,
    fence: number,
    nowMs: number,
  ): readonly Body[] => {
    const isSame =
      planned?.state.maintenance === fleet.maintenance &&
      planned.state.pools.members === fleet.pools.members;
    if (isSame && nowMs - (planned?.atMs ?? 0) < REPLAN_AFTER_MS) return [];
    planned = { state: fleet, atMs: nowMs };
    decisions = planWaves({ fleet, instances, policyOf, nowMs, settings: DEFAULT_WAVE_SETTINGS });
    return decisions.flatMap((decision): readonly Body[] => {
      if (decision.kind !== 'permit') return [];
      const { instanceId, wave, isCanary } = decision;
      return [{ kind: 'maintenance.permit', instanceId, wave, isCanary, fence }];
    });
  };
  const planRecords = (
    fleet: CapacityState,
    list: ListReading,
    fence: number,
    nowMs: number,
  ): readonly Body[] => {
    const loss = planObservation(fleet, absences, list, LOST_AFTER_MS);
    absences = loss.absences;
    const { lost, returned } = loss;
    const hasChanges = lost.length + returned.length > 0;
    const permits = planPermits(fleet, list, fence, nowMs);
    if (!hasChanges) return permits;
    return [{ kind: 'maintenance.observation', lost, returned, fence }, ...permits];
  };
  return {
    run: (state, fence, nowMs, handleStall) => {
      const listedAtMs = nowMs - random() * MAX_LIST_LAG_MS;
      const list = { instances: platform.listInstances(listedAtMs), requestedAtMs: nowMs };
      const outcomes = runPermits(state, list, nowMs, handleStall);
      return [...outcomes, ...planRecords(state, list, fence, nowMs)];
    },
    reset: () => {
      executor = createExecutorState();
    },
    applyStalled: (nowMs) => {
      const pendingActions = stalledActions;
      stalledActions = [];
      return applyActions(pendingActions, nowMs);
    },
    listDecisions: () => decisions,
  };
}
