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
import type { FleetState } from 'vanilladock/lib/maintenance/fleet.js';
import type { Body } from './log-client.js';
import type { FakePlatform } from './platform.js';
import { SECOND_MS, type World } from './world.js';

const LIST_LAG_MS = 40 * SECOND_MS;
const LOST_AFTER_MS = 20 * SECOND_MS;
const STALL_SHARE = 0.002;

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
    state: FleetState,
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
  let executor: ExecutorState = createExecutorState();
  let absences: Absences = createAbsences();
  let decisions: readonly WaveDecision[] = [];
  let stalled: readonly PermitAction[] = [];
  const applyActions = (actions: readonly PermitAction[], nowMs: number): readonly Body[] =>
    actions.flatMap((action): readonly Body[] => {
      switch (action.kind) {
        case 'checkpoint':
          return [];
        case 'operation': {
          const { operation, instanceId, permitId } = action;
          const answer = platform.applyOperation(operation, instanceId, permitId, nowMs);
          if (answer === 'done') confirmed.add(`${permitId}/${operation}`);
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
  const decideActions = (state: FleetState, list: ListReading, nowMs: number) => {
    const ids = [...state.maintenance.permits.keys()];
    const work = new Map(ids.map((id) => [id, platform.countWork(id, nowMs)]));
    const isConfirmed = (permitId: string, operation: string) =>
      confirmed.has(`${permitId}/${operation}`);
    const { instances } = world;
    const seen = { list, instances, work, isConfirmed, policyOf, atMs: nowMs };
    const step = decidePermitActions(executor, state, seen, nowMs);
    executor = step.state;
    return step.actions;
  };
  const runPermits = (
    state: FleetState,
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
  const planRecords = (
    fleet: FleetState,
    list: ListReading,
    fence: number,
    nowMs: number,
  ): readonly Body[] => {
    const loss = planObservation(fleet, absences, list, LOST_AFTER_MS);
    absences = loss.absences;
    const { lost, returned } = loss;
    const isNews = lost.length + returned.length > 0;
    const { instances } = list;
    decisions = planWaves({ fleet, instances, policyOf, nowMs, settings: WAVE_SETTINGS });
    const permits = decisions.flatMap((decision): readonly Body[] => {
      if (decision.kind !== 'permit') return [];
      const { instanceId, wave, isCanary } = decision;
      return [{ kind: 'maintenance.permit', instanceId, wave, isCanary, fence }];
    });
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
