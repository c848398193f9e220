/** A worker in memory for tests of planners, with the timers in force. */
import type { EndedTask, TaskWorkers } from 'vanilladock/lib/ports/task-workers.js';
import { CALL_MS, waitFor } from './memory-store.js';

/** Duration of each task on the worker. */
export const TASK_MS = 50;

/**
 * Creates a worker that ends every task as done. It reports at most `maxEnds` ends, and drops those
 * that a planner has confirmed as stored.
 */
export function createMemoryWorker(maxEnds = Infinity) {
  const starts: string[] = [];
  const running = new Map<string, number>();
  let ended: readonly EndedTask[] = [];
  let lastNumber = 0;
  let longestList = 0;
  const workers = {
    startTask: async (_: unknown, { taskKey, run }: { taskKey: string; run: number }) => {
      await waitFor(CALL_MS);
      starts.push(taskKey);
      running.set(taskKey, run);
      setTimeout(() => {
        running.delete(taskKey);
        lastNumber += 1;
        ended = [...ended, { number: lastNumber, taskKey, run, how: 'done', checkpoint: '' }];
      }, TASK_MS);
      return { kind: 'accepted', clockMs: performance.now() };
    },
    renew: async (_: unknown, { lastSeenEnd, waitMs }: { lastSeenEnd: number; waitMs: number }) => {
      await waitFor(Math.max(CALL_MS, Math.min(waitMs, TASK_MS)));
      ended = ended.filter(({ number }) => number > lastSeenEnd);
      longestList = Math.max(longestList, ended.length);
      const rows = [...running].map(([taskKey, run]) => ({
        taskKey,
        run,
        checkpoint: '',
        percent: 10,
        load: 0,
      }));
      const report = {
        bornMs: 1,
        clockMs: performance.now(),
        running: rows,
        ended: ended.slice(0, maxEnds),
      };
      return { kind: 'report', report };
    },
  };
  return {
    workers: workers as unknown as TaskWorkers,
    starts,
    countEnds: () => lastNumber,
    getLongestList: () => longestList,
  };
}
