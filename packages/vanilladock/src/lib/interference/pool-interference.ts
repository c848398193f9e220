/**
 * Learns from workers' reports which images slow each other down in a pool, and says what a
 * placement would cost the serving tasks on a worker. The cost only orders workers that fit: no task
 * is refused or delayed for it.
 */
import type { PoolContext } from '../jobs/pool-context.js';
import type { StepSpec } from '../jobs/spec.js';
import { FULL_PERCENT, type Task, type Worker } from '../jobs/state.js';
import { createPairEstimates, makePairKey, type PairEstimate } from './pair-estimates.js';

/** Effect of a placement on the serving tasks of a worker. */
export interface PlacementEffect {
  /** Cost of the worker; 0 if no tail comes near its target. */
  readonly cost: number;
  /** The worst pair; undefined if no effect is known. */
  readonly worst: Pick<PairEstimate, 'aggressor' | 'victim' | 'effect'> | undefined;
}

/** Figures for the metrics. */
export interface InterferenceFigures {
  readonly knownPairs: number;
  /** Pairs of which one task beside another would raise its tail notably. */
  readonly hurtingPairs: number;
}

/** Interference in one pool. */
export interface PoolInterference {
  /** Takes in a worker after its report was applied. */
  readonly observeReport: (workerId: string, nowMs: number) => void;
  /** Estimates what a task of a step would do to, or suffer from, the tasks on a worker. */
  readonly estimateEffect: (worker: Worker, step: StepSpec, nowMs: number) => PlacementEffect;
  readonly getFigures: (nowMs: number) => InterferenceFigures;
}

/** Reported loads are of the last half second; a change before that is not in them yet. */
const REPORT_LAG_MS = 600;

/** Share of its target above which a tail is near it; the pace of tasks beside it is then reduced. */
const NEAR_TARGET_SHARE = 0.7;

/** Cost of a predicted tail at its target; above what full or near workers save, 1.5 at most. */
const COST_AT_TARGET = 2;

/** Limit of the cost, below that of a worker on which the task has failed. */
const MAX_COST = 5;

/** Effect from which a pair counts as hurting. */
const HURTING_EFFECT = 0.1;

const NO_EFFECT: PlacementEffect = { cost: 0, worst: undefined };

/** A task of a worker with its step. */
interface WorkerTask {
  readonly task: Task;
  readonly step: StepSpec;
}

/** Says whether a step's tasks have a tail that others may raise. */
function isServing({ tailTargetMs }: StepSpec): boolean {
  return tailTargetMs !== undefined;
}

/** Lists the tasks on a worker. */
function listTasks({ table }: PoolContext, worker: Worker): readonly WorkerTask[] {
  return [...worker.tasks].flatMap((key) => {
    const task = table.findTask(key);
    return task === undefined ? [] : [{ task, step: table.findStep(task) }];
  });
}

/** Computes the tail of a serving task as a share of its target; 0 if it is not running. */
function computeTailShare({ task: { state }, step }: WorkerTask): number {
  if (state.kind !== 'assigned' || step.tailTargetMs === undefined) return 0;
  return state.load / step.tailTargetMs;
}

/** Computes the cost of a predicted tail. */
function computeCost(tailShare: number): number {
  if (tailShare <= NEAR_TARGET_SHARE) return 0;
  const excess = (tailShare - NEAR_TARGET_SHARE) / (1 - NEAR_TARGET_SHARE);
  return Math.min(MAX_COST, excess * COST_AT_TARGET);
}

/** Creates the interference of a pool of which nothing is known. */
export function createPoolInterference(context: PoolContext): PoolInterference {
  const estimates = createPairEstimates();
  /** What the last report of a worker showed, and since when it has been the same. */
  const mixes = new Map<string, { readonly mix: string; readonly sinceMs: number }>();
  const hurting = new Set<string>();

  /** Forgets the workers that the pool no longer has. */
  const dropGone = () =>
    mixes.forEach((_, workerId) => {
      if (!context.table.workers.has(workerId)) mixes.delete(workerId);
    });
  /** Says for how long a worker has run the same tasks at the same pace. */
  const observeMix = (workerId: string, tasks: readonly WorkerTask[], nowMs: number): number => {
    const mix = tasks
      .map(({ task: { key, state } }) => {
        return state.kind === 'assigned' ? `${key}/${state.run}/${state.pacePercent}` : key;
      })
      .sort()
      .join();
    const known = mixes.get(workerId);
    const sinceMs = known?.mix === mix ? known.sinceMs : nowMs;
    mixes.set(workerId, { mix, sinceMs });
    // Workers come and go under new ids; each report can add one entry at most.
    if (mixes.size > context.table.workers.size) dropGone();
    return nowMs - sinceMs;
  };
  const sumPaces = (tasks: readonly WorkerTask[]) => {
    const paces = new Map<string, number>();
    tasks.forEach(({ task: { state }, step }) => {
      if (!step.isFilling || state.kind !== 'assigned' || state.phase !== 'running') return;
      const pace = state.pacePercent / FULL_PERCENT;
      paces.set(step.image, (paces.get(step.image) ?? 0) + pace);
    });
    return paces;
  };
  /** Logs when a pair begins to hurt, and when it no longer does. */
  const logPair = (aggressor: string, victim: string, workerId: string, nowMs: number) => {
    const key = makePairKey(aggressor, victim);
    const effect = estimates.getEffect(aggressor, victim, nowMs);
    const isHurting = effect >= HURTING_EFFECT;
    if (hurting.has(key) === isHurting) return;
    if (isHurting) hurting.add(key);
    else hurting.delete(key);
    const event = isHurting ? 'pair-hurts' : 'pair-harmless';
    context.report({ event, aggressor, victim, effect, worker: workerId });
  };
  /** Sums the effects of tasks of some images on one of another, and finds the worst pair. */
  const sumEffects = (aggressors: readonly string[], victim: string, nowMs: number) => {
    const effects = aggressors.map((aggressor) => {
      return { aggressor, victim, effect: estimates.getEffect(aggressor, victim, nowMs) };
    });
    const sum = effects.reduce((total, { effect }) => total + effect, 0);
    const [worst] = [...effects].sort((a, b) => b.effect - a.effect);
    return { sum, worst: worst !== undefined && worst.effect > 0 ? worst : undefined };
  };
  return {
    observeReport: (workerId, nowMs) => {
      const worker = context.table.workers.get(workerId);
      if (worker === undefined || worker.lastingTasks === 0) return;
      const tasks = listTasks(context, worker);
      const victims = tasks.filter(
        ({ task: { state }, step }) =>
          isServing(step) && state.kind === 'assigned' && state.percent >= FULL_PERCENT,
      );
      if (victims.length === 0 || observeMix(workerId, tasks, nowMs) < REPORT_LAG_MS) return;
      const paces = sumPaces(tasks);
      victims.forEach((victim) => {
        const { image } = victim.step;
        estimates.observe({ victim: image, tailShare: computeTailShare(victim), paces }, nowMs);
        paces.forEach((_, aggressor) => logPair(aggressor, image, workerId, nowMs));
      });
    },
    estimateEffect: (worker, step, nowMs) => {
      if (worker.tasks.size === 0 || !(step.isFilling || isServing(step))) return NO_EFFECT;
      const tasks = listTasks(context, worker);
      if (step.isFilling) {
        return tasks
          .filter((other) => isServing(other.step))
          .map((victim): PlacementEffect => {
            const { sum, worst } = sumEffects([step.image], victim.step.image, nowMs);
            return { cost: sum > 0 ? computeCost(computeTailShare(victim) + sum) : 0, worst };
          })
          .reduce((a, b) => (b.cost > a.cost ? b : a), NO_EFFECT);
      }
      const aggressors = tasks
        .filter((other) => other.step.isFilling)
        .map((other) => other.step.image);
      const { sum, worst } = sumEffects(aggressors, step.image, nowMs);
      return { cost: Math.min(MAX_COST, sum * COST_AT_TARGET), worst };
    },
    getFigures: (nowMs) => {
      const known = estimates.list(nowMs);
      return {
        knownPairs: known.length,
        hurtingPairs: known.filter(({ effect }) => effect >= HURTING_EFFECT).length,
      };
    },
  };
}
