/**
 * Logs a worker that runs more tasks of a step than the step allows, as its report lists them. The
 * planner never orders that knowingly, so the line shows a run that it did not count.
 */
import type { RunningTask } from '../ports/task-workers.js';
import type { PoolContext } from './pool-context.js';
import { makeStepKey } from './spec.js';

/** Log of the spread of steps over workers. */
export interface SpreadLog {
  /** Takes in what a worker runs; logs each new set of tasks beyond a spread once. */
  readonly observeRunning: (workerId: string, running: readonly RunningTask[]) => void;
}

/** The runs of one step on a worker. */
interface StepRuns {
  readonly step: string;
  readonly max: number;
  readonly runs: readonly RunningTask[];
}

/** Lists the runs of the steps with a limit; those of jobs that have ended are not known. */
function listLimited({ table }: PoolContext, running: readonly RunningTask[]): readonly StepRuns[] {
  const byStep = new Map<string, StepRuns>();
  running.forEach((row) => {
    const task = table.findTask(row.taskKey);
    const max = task && table.findStep(task).maxPerWorker;
    if (task === undefined || max === undefined) return;
    const step = makeStepKey(task.jobId, task.occurrence, task.stepIndex);
    byStep.set(step, { step, max, runs: [...(byStep.get(step)?.runs ?? []), row] });
  });
  return [...byStep.values()];
}

/** Creates the log of a pool. */
export function createSpreadLog(context: PoolContext): SpreadLog {
  /** What was last logged of each worker. */
  const logged = new Map<string, string>();
  return {
    observeRunning: (workerId, running) => {
      const exceeded =
        running.length < 2
          ? []
          : listLimited(context, running).filter(({ max, runs }) => runs.length > max);
      if (exceeded.length === 0) {
        logged.delete(workerId);
        return;
      }
      const steps = exceeded.map(({ step, max, runs }) => ({
        step,
        max,
        runs: runs.map(({ taskKey: task, run }) => ({ task, run })),
      }));
      const text = JSON.stringify(steps);
      if (logged.get(workerId) === text) return;
      logged.set(workerId, text);
      context.report({ event: 'spread-exceeded', worker: workerId, steps });
    },
  };
}
