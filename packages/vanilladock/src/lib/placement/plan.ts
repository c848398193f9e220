/**
 * Plans the placement of tasks under one duty. A round is pure except for the planner's memory of
 * decisions that have not yet taken effect. Losing that memory leads to duplicate records, which
 * the fold voids, but never to a task that runs twice.
 */
import type { WorkerCommand } from '../ports/workers.js';
import type { PlacementDecision } from './decisions.js';
import { classifyDuty } from './leases.js';
import { GRANTS_PER_ROUND } from './plan-input.js';
import type { PlanInput, PoolView } from './plan-input.js';
import { computePendingCores, planPool } from './plan-pool.js';
import { planQuarantine } from './plan-quarantine.js';
import { observeNewestReport } from './plan-context.js';
import type { PlanContext } from './plan-context.js';
import { planUnlisted, planRenewal, planWorker } from './plan-worker.js';
import { createPlannerMemory, dropResolved, getWorkerMemory } from './planner-memory.js';
import { createRecordMaker } from './record-maker.js';

/** Rounds between two checks of leases on workers that are no longer listed. */
const UNLISTED_CHECK_ROUNDS = 60;

/**
 * Result of a command that was sent to a worker. `fenced`: the worker knows a newer token,
 * or the lease was already used. `unknown`: no response, the command may have taken effect.
 */
export type CommandAnswer = 'done' | 'refused' | 'fenced' | 'unknown';

/** Plans placement under one claim on a duty; a new claim needs a new planner. */
export interface Planner {
  /**
   * Plans one round; the decisions are to be carried out in the returned order. In the grace period
   * of the claim they only renew leases; once the claim is lost there are none.
   */
  readonly plan: (input: PlanInput) => readonly PlacementDecision[];
  /**
   * Handles the result of a command about one lease: after `refused` or `unknown`, a later round
   * decides again. Results of `renew-worker` are ignored.
   */
  readonly observeAnswer: (workerId: string, command: WorkerCommand, answer: CommandAnswer) => void;
}

/** Says whether any task of a pool is throttled. */
function hasThrottled({ memory }: PlanContext, pool: PoolView): boolean {
  return pool.workers.some(({ id }) => getWorkerMemory(memory, id).hasThrottled);
}

/** Plans a round under a held claim. */
function planHeld(context: PlanContext, round: number): readonly PlacementDecision[] {
  const { pools, state } = context.input;
  const workerDecisions = pools.flatMap((pool) =>
    pool.workers.flatMap((worker) => planWorker(context, pool, worker)),
  );
  const unlisted = round % UNLISTED_CHECK_ROUNDS === 0 ? planUnlisted(context) : [];
  const decisions = [...workerDecisions, ...unlisted];
  const pending = computePendingCores(context);
  let budget = GRANTS_PER_ROUND;
  pools.forEach((_, index) => {
    const pool = pools[(index + round) % pools.length];
    if (pool === undefined) return;
    decisions.push(...planQuarantine(context, pool));
    if (!state.queues.has(pool.name) && !hasThrottled(context, pool)) return;
    const planned = planPool(context, pool, budget, pending);
    budget -= planned.filter(({ kind }) => kind === 'grant').length;
    decisions.push(...planned);
  });
  return decisions;
}

/** Plans only renewals of running tasks, because another entry may hold the duty by now. */
function planGraceRenewals(context: PlanContext): readonly PlacementDecision[] {
  return context.input.pools.flatMap((pool) =>
    pool.workers.flatMap((worker) => {
      observeNewestReport(context, worker.id, context.input.reports.get(worker.id));
      return planRenewal(context, pool, worker.id);
    }),
  );
}

/** Creates a planner for one entry; it is valid for one claim only. */
export function createPlanner(entryId: string): Planner {
  const memory = createPlannerMemory();
  let recordCount = 0;
  let rounds = 0;
  const makeRecordNumber = (): number => {
    recordCount += 1;
    return recordCount;
  };
  return {
    plan: (input) => {
      const maker = createRecordMaker(entryId, input.duty, input.at, makeRecordNumber);
      const context = { input, memory, maker };
      dropResolved(memory, input.state, input.nowMs);
      const phase = classifyDuty(input.duty, input.nowMs);
      rounds += 1;
      switch (phase) {
        case 'held':
          return planHeld(context, rounds);
        case 'grace':
          return planGraceRenewals(context);
        case 'lost':
          return [];
        default:
          return phase satisfies never;
      }
    },
    observeAnswer: (workerId, command, answer) => {
      if (command.kind === 'renew-worker' || answer === 'done' || answer === 'fenced') return;
      const known = getWorkerMemory(memory, workerId);
      const sent = new Map(known.sent);
      sent.delete(`${command.kind}/${command.lease.fencingToken}`);
      memory.workers.set(workerId, { ...known, sent, decided: undefined });
    },
  };
}
