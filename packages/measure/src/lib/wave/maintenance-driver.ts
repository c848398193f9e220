/** The maintenance duty of one planner: it observes losses, asks for permits and carries them out. */
import {
  createAbsences,
  createExecutorState,
  decidePermitActions,
  planObservation,
  planWaves,
  WAVE_SETTINGS,
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
import { SECOND_MS, type World } from './world.js';

const LIST_LAG_MS = 40 * SECOND_MS;
const LOST_AFTER_MS = 20 * SECOND_MS;
const STALL_SHARE = 0.002;
/** Time after which waves are planned again although the log says nothing new. */
const REPLAN_MS = 30 * SECOND_MS;

/** What the maintenance duty works on. */
export interface MaintenanceSetting {
  readonly world: World;
  readonly platform: FakePlatform;
  readonly policyOf: PolicyOf;
  readonly random: Random;
}

/** The maintenance duty. */
export interface MaintenanceDriver {
  /** Does a round under a fence; `handleStall` is called when the process stops with actions in hand. */
  readonly run: (
    state: CapacityState,
    fence: number,
    nowMs: number,
    handleStall: () => void,
  ) => readonly Body[];
  /** Forgets the progress of permits, as a planner that has lost the duty must. */
  readonly reset: () => void;
  /** Carries out what was in hand when the process stopped, without looking at the log. */
  readonly applyStalled: (nowMs: number) => readonly Body[];
  readonly listDecisions: () => readonly WaveDecision[];
}

/** Says whether an action restores an instance. */
function isRestore(action: PermitAction): boolean {
  return action.kind === 'operation' && action.operation === 'restore';
}

/** Creates the maintenance duty of one planner. */
export function createMaintenanceDriver(setting: MaintenanceSetting): MaintenanceDriver {
  const { world, platform, policyOf, random } = setting;
  const confirmed = new Set<string>();
  const ended = new Set<string>();
  let executor: ExecutorState = createExecutorState();
  let absences: Absences = createAbsences();
  let decisions: readonly WaveDecision[] = [];
  let stalled: readonly PermitAction[] = [];
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
    const { instances } = world;
    const seen = { list, instances, work, isConfirmed, isEnded, policyOf, atMs: nowMs };
    const step = decidePermitActions(executor, state, seen, nowMs);
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
    if (actions.length > 0 && random() < STALL_SHARE) {
      stalled = actions;
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
    if (isSame && nowMs - (planned?.atMs ?? 0) < REPLAN_MS) return [];
    planned = { state: fleet, atMs: nowMs };
    decisions = planWaves({ fleet, instances, policyOf, nowMs, settings: WAVE_SETTINGS });
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
    const isNews = lost.length + returned.length > 0;
    const permits = planPermits(fleet, list, fence, nowMs);
    if (!isNews) return permits;
    return [{ kind: 'maintenance.observation', lost, returned, fence }, ...permits];
  };
  return {
    run: (state, fence, nowMs, handleStall) => {
      const listedAtMs = nowMs - random() * LIST_LAG_MS;
      const list = { instances: platform.listInstances(listedAtMs), askedAtMs: nowMs };
      const outcomes = runPermits(state, list, nowMs, handleStall);
      return [...outcomes, ...planRecords(state, list, fence, nowMs)];
    },
    reset: () => {
      executor = createExecutorState();
    },
    applyStalled: (nowMs) => {
      const late = stalled;
      stalled = [];
      return applyActions(late, nowMs);
    },
    listDecisions: () => decisions,
  };
}
