/**
 * Checks of the starts at simulated workers, whatever the planners believe: a task runs once at a
 * time and not after its end, a run has one worker, and a worker has no more tasks of a step than the
 * step allows.
 */
import { parseTaskKey } from 'vanilladock/lib/jobs/spec.js';
import type { Incarnation, Run } from './simulated-worker.js';

/** A worker that is up. */
interface WorkerUp {
  readonly id: string;
  readonly incarnation: Incarnation;
}

/** What the checks look at. */
interface StartCheckOptions {
  readonly listUp: () => readonly WorkerUp[];
  /** Gets how many tasks of a task's step may run on one worker. */
  readonly getMaxPerWorker: (taskKey: string) => number;
}

/** Names a run. */
export const makeRunKey = ({ taskKey, run }: Pick<Run, 'taskKey' | 'run'>): string =>
  `${taskKey} run ${run}`;

/** Says whether two tasks are of the same step and occurrence. */
const isSameStep = (a: string, b: string): boolean => {
  const [first, second] = [parseTaskKey(a), parseTaskKey(b)];
  return (
    first.jobId === second.jobId &&
    first.occurrence === second.occurrence &&
    first.stepIndex === second.stepIndex
  );
};

/** Creates the checks without any start. */
export function createStartChecks({ listUp, getMaxPerWorker }: StartCheckOptions) {
  const violations: string[] = [];
  const repeats: string[] = [];
  const completed = new Set<string>();
  const workerOfRun = new Map<string, string>();
  const startsMs = new Map<string, readonly number[]>();

  const checkSpread = (workerId: string, started: Pick<Run, 'taskKey' | 'run'>) => {
    const worker = listUp().find(({ id }) => id === workerId);
    const siblings = (worker?.incarnation.listRuns() ?? []).filter(({ taskKey }) =>
      isSameStep(taskKey, started.taskKey),
    );
    const max = getMaxPerWorker(started.taskKey);
    if (siblings.length + 1 <= max) return;
    const beside = siblings.map(makeRunKey).join(', ');
    violations.push(`${makeRunKey(started)} on ${workerId} beside ${beside}, ${max} allowed`);
  };
  return {
    violations,
    /** Starts of tasks that had run to their end on a worker that was up; not wrong in a cut. */
    repeats,
    /** Times at which each task was started. */
    startsMs,
    /** Records that a planner has confirmed that the end of a task is stored. */
    observeCompleted: (taskKey: string) => {
      completed.add(taskKey);
    },
    /** Checks a start that a worker is about to carry out. */
    checkStart: (workerId: string, started: Pick<Run, 'taskKey' | 'run'>) => {
      const { taskKey } = started;
      const what = makeRunKey(started);
      const up = listUp();
      const other = up.find(({ incarnation }) => incarnation.hasRun(taskKey));
      if (other !== undefined) {
        violations.push(`${what} on ${workerId} while it runs on ${other.id}`);
      }
      const lister = up.find(({ incarnation }) => incarnation.listsDone(taskKey));
      if (lister !== undefined) repeats.push(`${what} on ${workerId}, done on ${lister.id}`);
      if (completed.has(taskKey)) violations.push(`${what} after its end`);
      const known = workerOfRun.get(what) ?? workerId;
      if (known !== workerId) violations.push(`${what} on ${workerId} and on ${known}`);
      workerOfRun.set(what, workerId);
      checkSpread(workerId, started);
      startsMs.set(taskKey, [...(startsMs.get(taskKey) ?? []), performance.now()]);
    },
  };
}
