/**
 * Logs the suspects of crashes that wait for a worker of their own, so that such a wait can be told
 * from one for earlier planners, for a limit or for capacity.
 */
import { isAcceptingTasks } from '../choose-worker.js';
import type { PoolContext } from '../pool-context.js';
import type { Task } from '../state.js';

/** Log of the waits of a pool's suspects. */
export interface IsolationWaitLog {
  /** Takes in the suspects that would start now if they had a worker; `nowMs` is monotonic. */
  readonly observeWaiting: (suspects: readonly Task[], nowMs: number) => void;
}

/** A suspect that has waited for this long is logged, and again after as long. */
const LOG_INTERVAL_MS = 2_000;

/** Creates the log without any wait. */
export function createIsolationWaitLog({ table, report }: PoolContext): IsolationWaitLog {
  /** When each task was first seen to wait, by task key. */
  const sinceMs = new Map<string, number>();
  let loggedMs = -Infinity;
  return {
    observeWaiting: (suspects, nowMs) => {
      const keys = new Set(suspects.map(({ key }) => key));
      [...sinceMs.keys()].filter((key) => !keys.has(key)).forEach((key) => sinceMs.delete(key));
      keys.forEach((key) => sinceMs.set(key, sinceMs.get(key) ?? nowMs));
      const [first] = [...sinceMs].sort(([, a], [, b]) => a - b);
      if (first === undefined || nowMs - Math.max(first[1], loggedMs) < LOG_INTERVAL_MS) return;
      loggedMs = nowMs;
      const workers = [...table.workers.values()];
      const oldest = table.findTask(first[0]);
      report({
        event: 'suspects-wait',
        suspects: suspects.length,
        jobs: new Set(suspects.map(({ jobId }) => jobId)).size,
        task: first[0],
        waitedMs: Math.round(nowMs - first[1]),
        crashes: oldest?.crashes.length,
        hasOwnWorker: workers.some(({ isolation }) => isolation?.jobId === oldest?.jobId),
        isolated: workers.filter(({ isolation }) => isolation !== undefined).length,
        accepting: workers.filter((worker) => isAcceptingTasks(worker, nowMs)).length,
      });
    },
  };
}
