/**
 * Plans the placement of tasks under one duty. A round is pure but for the planner's own memory of what
 * it has decided and not yet seen take effect; losing that memory costs doubles that the fold voids,
 * never a task that runs twice.
 */
import type { WorkerCommand } from '../ports/workers.js';
import type { PlacementDecision } from './decisions.js';
import { classifyDuty } from './leases.js';
import { GRANTS_PER_ROUND } from './plan-input.js';
import type { PlanInput, PoolView } from './plan-input.js';
import { computePendingCores, planPool } from './plan-pool.js';
import { planQuarantine } from './plan-quarantine.js';
import { observeNewest, planAbsent, planRenewal, planWorker } from './plan-worker.js';
import type { PlanContext } from './plan-worker.js';
import { createPlannerMemory, dropAnswered, getWorkerMemory } from './planner-memory.js';
import { createRecordMaker } from './record-maker.js';

/** Rounds between two looks at leases on workers that are no longer listed. */
const ABSENT_ROUNDS = 60;

/** How a worker answered a command. */
export type CommandAnswer = 'done' | 'refused' | 'fenced' | 'unknown';

/** Plans placement under one claim on a duty; a new claim needs a new planner. */
export interface Planner {
  /** Decides one round; the order of the decisions is the order in which they are carried out. */
  readonly plan: (input: PlanInput) => readonly PlacementDecision[];
  /** Takes in how a worker answered a command, so that one without effect is sent again. */
  readonly observeAnswer: (workerId: string, command: WorkerCommand, answer: CommandAnswer) => void;
}

/** Says whether some task of a pool is throttled. */
function hasThrottled({ memory }: PlanContext, pool: PoolView): boolean {
  return pool.workers.some(({ id }) => getWorkerMemory(memory, id).hasThrottled);
}

/** Decides a round under a claim that is held. */
function planHeld(context: PlanContext, round: number): readonly PlacementDecision[] {
  const { pools, state } = context.input;
  const upkeep = pools.flatMap((pool) =>
    pool.workers.flatMap((worker) => planWorker(context, pool, worker)),
  );
  const absent = round % ABSENT_ROUNDS === 0 ? planAbsent(context) : [];
  const decisions = [...upkeep, ...absent];
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

/** Renews running tasks only, because another entry may hold the duty. */
function planStretching(context: PlanContext): readonly PlacementDecision[] {
  return context.input.pools.flatMap((pool) =>
    pool.workers.flatMap((worker) => {
      observeNewest(context, worker.id, context.input.reports.get(worker.id));
      return planRenewal(context, pool, worker.id);
    }),
  );
}

/** Creates a planner for one entry under one claim. */
export function createPlanner(entryId: string): Planner {
  const memory = createPlannerMemory();
  let records = 0;
  let rounds = 0;
  const makeNumber = (): number => {
    records += 1;
    return records;
  };
  return {
    plan: (input) => {
      const maker = createRecordMaker(entryId, input.duty, input.at, makeNumber);
      const context = { input, memory, maker };
      dropAnswered(memory, input.state, input.nowMs);
      const phase = classifyDuty(input.duty, input.nowMs);
      rounds += 1;
      switch (phase) {
        case 'held':
          return planHeld(context, rounds);
        case 'stretching':
          return planStretching(context);
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
