/**
 * The two baselines: pools of fixed sizes without loans, and greedy moves, which send an instance
 * wherever work waits as soon as another pool has one idle.
 */
import { addWork, computeKept, createQueue, serveWork } from './queue.js';
import { DAY_S, type Trace } from './trace.js';

const MOVE_S = 5;
const SIZE_STEP = 0.02;
const PEAK = 5;

/** Computes the kept share of pools with fixed sizes. */
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

/** Finds the fewest instances in fixed pools that keep at least a given share of the work. */
export function findStaticSize(trace: Trace, means: readonly number[], kept: number): number {
  for (let share = SIZE_STEP; share <= 1; share += SIZE_STEP) {
    const sizes = means.map((mean) => Math.ceil(mean * PEAK * share));
    if (computeStaticKept(trace, sizes) >= kept) return sizes.reduce((sum, size) => sum + size, 0);
  }
  return means.reduce((sum, mean) => sum + Math.ceil(mean * PEAK), 0);
}

/** Runs a day of greedy moves over the same instances; gives the moves and the kept share. */
export function runGreedy(trace: Trace, sizes: readonly number[]) {
  const held = [...sizes];
  const queues = trace.map(createQueue);
  const arriving: { readonly to: number; readonly at: number }[] = [];
  const counts = { moves: 0 };
  for (let second = 0; second < DAY_S; second += 1) {
    while (arriving[0] !== undefined && arriving[0].at <= second) {
      const { to } = arriving.shift() ?? { to: 0 };
      held[to] = (held[to] ?? 0) + 1;
    }
    const wants = queues.map((queue, index) => {
      addWork(queue, trace[index]?.[second] ?? 0, second);
      return queue.backlog - (held[index] ?? 0);
    });
    const to = wants.indexOf(Math.max(...wants));
    const onTheWay = arriving.filter((move) => move.to === to).length;
    let missing = Math.ceil((wants[to] ?? 0) - onTheWay);
    wants.forEach((want, from) => {
      const idle = Math.min(Math.floor(-want), (held[from] ?? 0) - 1);
      const taken = Math.max(0, Math.min(idle, missing));
      held[from] = (held[from] ?? 0) - taken;
      missing -= taken;
      counts.moves += taken;
      arriving.push(...Array.from({ length: taken }, () => ({ to, at: second + MOVE_S })));
    });
    queues.forEach((queue, index) => serveWork(queue, held[index] ?? 0));
  }
  return { moves: counts.moves, kept: computeKept(queues) };
}
