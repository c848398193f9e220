/**
 * The two baselines: pools of fixed sizes without loans, and greedy moves, which every second send
 * idle instances of the other pools to the pool with the largest shortage.
 */
import { addWork, computeKept, createQueue, serveWork } from './queue.js';
import { DAY_S, type Trace } from './trace.js';

/** Time until a moved instance serves its new pool. */
const MOVE_DURATION_S = 5;
const SIZE_SHARE_STEP = 0.02;
const PEAK_FACTOR = 5;

/** Computes the share of the work that pools of fixed sizes serve. */
function computeStaticKept(trace: Trace, sizes: readonly number[]): number {
  const queues = trace.map((demand, index) => {
    const size = sizes[index] ?? 0;
    const queue = createQueue();
    demand.forEach((amount, second) => {
      addWork(queue, amount, second);
      serveWork(queue, size);
    });
    return queue;
  });
  return computeKept(queues);
}

/**
 * Finds the smallest number of instances in fixed pools that serve at least the share `kept` of the
 * work, in steps of 2 % of the pools' peak demand.
 */
export function findStaticSize(trace: Trace, means: readonly number[], kept: number): number {
  for (let share = SIZE_SHARE_STEP; share <= 1; share += SIZE_SHARE_STEP) {
    const sizes = means.map((mean) => Math.ceil(mean * PEAK_FACTOR * share));
    if (computeStaticKept(trace, sizes) >= kept) return sizes.reduce((sum, size) => sum + size, 0);
  }
  return means.reduce((sum, mean) => sum + Math.ceil(mean * PEAK_FACTOR), 0);
}

/**
 * Runs a day of greedy moves over the same instances; returns the number of moves and the served
 * share.
 */
export function runGreedy(trace: Trace, sizes: readonly number[]) {
  const held = [...sizes];
  const queues = trace.map(createQueue);
  const arrivals: { readonly to: number; readonly at: number }[] = [];
  const counts = { moves: 0 };
  for (let second = 0; second < DAY_S; second += 1) {
    while (arrivals[0] !== undefined && arrivals[0].at <= second) {
      const { to } = arrivals.shift() ?? { to: 0 };
      held[to] = (held[to] ?? 0) + 1;
    }
    const shortages = queues.map((queue, index) => {
      addWork(queue, trace[index]?.[second] ?? 0, second);
      return queue.backlog - (held[index] ?? 0);
    });
    const to = shortages.indexOf(Math.max(...shortages));
    const inTransit = arrivals.filter((move) => move.to === to).length;
    let missing = Math.ceil((shortages[to] ?? 0) - inTransit);
    shortages.forEach((shortage, from) => {
      const idle = Math.min(Math.floor(-shortage), (held[from] ?? 0) - 1);
      const movedCount = Math.max(0, Math.min(idle, missing));
      held[from] = (held[from] ?? 0) - movedCount;
      missing -= movedCount;
      counts.moves += movedCount;
      arrivals.push(
        ...Array.from({ length: movedCount }, () => ({ to, at: second + MOVE_DURATION_S })),
      );
    });
    queues.forEach((queue, index) => serveWork(queue, held[index] ?? 0));
  }
  return { moves: counts.moves, kept: computeKept(queues) };
}
