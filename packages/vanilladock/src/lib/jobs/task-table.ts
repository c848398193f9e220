/**
 * Tables of the jobs, tasks and workers of one pool, with the transitions that keep them
 * consistent: a task has exactly one state at a time, and the used capacity of a worker is the sum
 * of its runs.
 */
import type { WorkerEntry } from '../ports/task-workers.js';
import { makeTaskSuffix } from './progress.js';
import { computeFootprint, computeUse } from './free-capacity.js';
import { makeJob, type JobOrigin } from './make-job.js';
import { makeStepRuns, makeWaitingTask, type TaskPlace } from './make-task.js';
import { makeWorker } from './make-worker.js';
import { createOrphanedRuns, type OrphanedRuns } from './orphaned-runs.js';
import { makeTaskKey, type JobRecord, type StepSpec } from './spec.js';
import { createTeamUsage, sumTeamUse, type TeamUsage } from '../teams/team-usage.js';
import {
  makeMovedTask,
  type Job,
  type Moment,
  type Occurrence,
  type StepRun,
  type Task,
  type TaskChange,
  type TaskState,
  type Worker,
} from './state.js';
import { createChangeRecord, type TableChanges } from './table-changes.js';

/** What is known of the run that a task leaves: it may go on, or it has ended or never started. */
export type LeftRun = 'may-go-on' | 'ended';

/** Tables of one pool; its jobs and workers are replaced at each change, so look them up again. */
export interface TaskTable {
  /** Jobs by id, ended ones included until they are dropped. */
  readonly jobs: ReadonlyMap<string, Job>;
  /** The active jobs among them. */
  readonly activeJobs: ReadonlyMap<string, Job>;
  /** Keys of the tasks under which workers have crashed. */
  readonly crashedTaskKeys: ReadonlySet<string>;
  /** Workers by id. */
  readonly workers: ReadonlyMap<string, Worker>;
  /** Runs that go on although no task waits for them. */
  readonly orphanedRuns: OrphanedRuns;
  /** What the tasks and orphaned runs of each team use; filling tasks count with their cores. */
  readonly teamUsage: TeamUsage;
  readonly findTask: (key: string) => Task | undefined;
  /** Finds the step of a task; throws if its job is not in the table. */
  readonly findStep: (task: Task) => StepSpec;
  /** Finds the step run of a task; throws if its job or occurrence is not in the table. */
  readonly findStepRun: (task: Task) => StepRun;
  /** Lists the tasks of the open occurrences; empty for an unknown job. */
  readonly listJobTasks: (jobId: string) => readonly Task[];
  /** Adds a job; if it is active and does not repeat, opens its only occurrence. */
  readonly addJob: (record: JobRecord, origin: JobOrigin, at: Moment) => Job;
  /** Applies changes to a job and returns it; throws if it is not in the table. */
  readonly updateJob: (jobId: string, change: Partial<Job>) => Job;
  /**
   * Creates the tasks of an occurrence, which start no earlier than `notBeforeMs` on the monotonic
   * clock, by default at once; does nothing if it is open already.
   */
  readonly openOccurrence: (jobId: string, number: number, notBeforeMs?: number) => void;
  /** Removes the tasks of a finished job or occurrence; running ones become orphaned runs. */
  readonly dropTasks: (tasks: readonly Task[]) => void;
  /** Removes a job; its tasks have to be dropped before. */
  readonly dropJob: (jobId: string) => void;
  /**
   * Moves a task to a state, applies further changes and returns the task that replaces it. The run of
   * an assignment that it leaves becomes an orphaned run, unless that is known to have `ended`.
   */
  readonly moveTask: (task: Task, state: TaskState, change?: TaskChange, leftRun?: LeftRun) => Task;
  /** Adds a worker that has not reported; replaces one of the same id. */
  readonly addWorker: (entry: WorkerEntry) => Worker;
  /** Applies changes to a worker; does nothing if it is unknown. */
  readonly updateWorker: (workerId: string, change: Partial<Worker>) => void;
  /** Removes a worker; its tasks have to be moved to another state before. */
  readonly dropWorker: (workerId: string) => void;
  /** Recomputes the capacity used by a worker's tasks and orphaned runs. */
  readonly refreshUsedCapacity: (workerId: string) => void;
  /** Records a change of a job that the tables do not hold, such as a new ticket for a step. */
  readonly recordJobChange: (jobId: string) => void;
  /** Returns the changes since they were last taken; later changes are added to the result. */
  readonly getChanges: () => TableChanges;
  /** Removes and returns the changes since they were last taken. */
  readonly takeChanges: () => TableChanges;
}

/** Creates empty tables. */
export function createTaskTable(): TaskTable {
  const jobs = new Map<string, Job>();
  const activeJobs = new Map<string, Job>();
  const tasks = new Map<string, Task>();
  const crashedTaskKeys = new Set<string>();
  const workers = new Map<string, Worker>();
  const origins = new Map<string, JobOrigin>();
  const changes = createChangeRecord();
  const orphanedRuns = createOrphanedRuns(workers, changes);
  const teamUsage = createTeamUsage();
  /** Whether any job has had a team; the sums cost time that other deployments need not spend. */
  let hasTeams = false;

  const setJob = (job: Job) => {
    const { id } = job.record.spec;
    jobs.set(id, job);
    if (job.phase === 'active') activeJobs.set(id, job);
    else activeJobs.delete(id);
    changes.addJob(id);
  };
  const setWorker = (worker: Worker) => {
    workers.set(worker.entry.id, worker);
    changes.addWorker(worker.entry.id);
  };
  const getJob = (jobId: string): Job => {
    const job = jobs.get(jobId);
    if (job === undefined) throw new Error(`job ${jobId} is not in the table`);
    return job;
  };
  const findStep = (task: Task): StepSpec => {
    const step = getJob(task.jobId).record.spec.steps[task.stepIndex];
    if (step === undefined) throw new Error(`task ${task.key} has no step`);
    return step;
  };
  const findStepRun = (task: Task): StepRun => {
    const stepRun = getJob(task.jobId).occurrences.get(task.occurrence)?.steps[task.stepIndex];
    if (stepRun === undefined) throw new Error(`task ${task.key} has no step run`);
    return stepRun;
  };
  const updateWorker = (workerId: string, change: Partial<Worker>) => {
    const worker = workers.get(workerId);
    if (worker !== undefined) setWorker({ ...worker, ...change });
  };
  const findTaskStep = (key: string): StepSpec | undefined => {
    const task = tasks.get(key);
    return task === undefined ? undefined : findStep(task);
  };
  const refreshUsedCapacity = (workerId: string) => {
    const worker = workers.get(workerId);
    if (worker === undefined) return;
    const { used, lastingTasks } = computeUse(worker, findTaskStep);
    setWorker({ ...worker, used, lastingTasks });
    if (hasTeams) teamUsage.setWorkerUse(workerId, sumTeamUse(worker, jobs));
  };
  const removeFromIndexes = (task: Task) => {
    const stepRun = findStepRun(task);
    stepRun.waiting.delete(task.index);
    stepRun.done.delete(task.index);
    stepRun.assigned.delete(task.index);
    if (task.state.kind === 'assigned') workers.get(task.state.workerId)?.tasks.delete(task.key);
  };
  const addToIndexes = (task: Task) => {
    const stepRun = findStepRun(task);
    switch (task.state.kind) {
      case 'waiting':
        stepRun.waiting.add(task.index);
        return;
      case 'assigned':
        stepRun.assigned.set(task.index, task.state.workerId);
        workers.get(task.state.workerId)?.tasks.add(task.key);
        return;
      case 'done':
        stepRun.done.add(task.index);
        return;
      default:
        task.state satisfies never;
    }
  };
  /** Keeps the run of an assigned task on its worker when the task leaves it. */
  const addOrphanedRun = (task: Task) => {
    if (task.state.kind !== 'assigned') return;
    const size = computeFootprint(findStep(task));
    const { key: stepKey } = findStepRun(task);
    orphanedRuns.set(task.key, { assignment: task.state, stepKey, size });
  };
  const moveTask = (
    task: Task,
    state: TaskState,
    change: TaskChange = {},
    leftRun: LeftRun = 'may-go-on',
  ): Task => {
    const previousWorkerId = task.state.kind === 'assigned' ? task.state.workerId : undefined;
    const nextWorkerId = state.kind === 'assigned' ? state.workerId : undefined;
    const moved = makeMovedTask(task, state, change);
    changes.addJob(task.jobId);
    if (moved.crashes.length > 0) crashedTaskKeys.add(task.key);
    else crashedTaskKeys.delete(task.key);
    if (previousWorkerId !== nextWorkerId || task.state.kind !== state.kind) {
      if (leftRun !== 'ended') addOrphanedRun(task);
      removeFromIndexes(task);
      tasks.set(task.key, moved);
      addToIndexes(moved);
      if (previousWorkerId !== undefined) refreshUsedCapacity(previousWorkerId);
      if (nextWorkerId !== undefined) refreshUsedCapacity(nextWorkerId);
    } else {
      tasks.set(task.key, moved);
      if (nextWorkerId !== undefined) changes.addWorker(nextWorkerId);
    }
    return moved;
  };
  const openTask = (job: Job, place: TaskPlace, notBeforeMs: number) => {
    const origin = origins.get(job.record.spec.id);
    const task = makeWaitingTask(job, place, notBeforeMs, origin);
    const { key } = task;
    const isDone = origin?.progress?.done.has(makeTaskSuffix(place)) === true;
    tasks.set(key, task);
    if (task.crashes.length > 0) crashedTaskKeys.add(key);
    if (isDone) moveTask(task, { kind: 'done' });
  };
  const openOccurrence = (jobId: string, number: number, notBeforeMs = 0) => {
    const job = getJob(jobId);
    if (job.occurrences.has(number)) return;
    const { steps } = job.record.spec;
    const occurrence: Occurrence = { number, steps: makeStepRuns(jobId, number, steps) };
    job.occurrences.set(number, occurrence);
    changes.addJob(jobId);
    steps.forEach((step, stepIndex) => {
      for (let index = 0; index < step.count; index += 1) {
        openTask(job, { occurrence: number, stepIndex, index }, notBeforeMs);
      }
    });
  };
  const listJobTasks = (jobId: string): readonly Task[] => {
    const job = jobs.get(jobId);
    if (job === undefined) return [];
    return [...job.occurrences.values()].flatMap((occurrence) =>
      job.record.spec.steps.flatMap((step, stepIndex) =>
        Array.from({ length: step.count }, (_, index) =>
          tasks.get(makeTaskKey(jobId, occurrence.number, stepIndex, index)),
        ).filter((task) => task !== undefined),
      ),
    );
  };
  const dropTask = (task: Task) => {
    const { state } = task;
    addOrphanedRun(task);
    removeFromIndexes(task);
    tasks.delete(task.key);
    crashedTaskKeys.delete(task.key);
    changes.addJob(task.jobId);
    if (state.kind === 'assigned') refreshUsedCapacity(state.workerId);
  };
  return {
    jobs,
    activeJobs,
    crashedTaskKeys,
    workers,
    orphanedRuns,
    teamUsage,
    findTask: (key) => tasks.get(key),
    findStep,
    findStepRun,
    listJobTasks,
    addJob: (record, origin, at) => {
      const job = makeJob(record, origin, at);
      hasTeams ||= record.team !== undefined;
      setJob(job);
      origins.set(record.spec.id, origin);
      if (job.phase === 'active' && record.spec.repeatCount === 0) {
        openOccurrence(record.spec.id, 0);
      }
      return job;
    },
    updateJob: (jobId, change) => {
      const job = { ...getJob(jobId), ...change };
      setJob(job);
      return job;
    },
    openOccurrence,
    dropTasks: (list) => list.forEach(dropTask),
    dropJob: (jobId) => {
      jobs.delete(jobId);
      activeJobs.delete(jobId);
      origins.delete(jobId);
      changes.addJob(jobId);
    },
    moveTask,
    addWorker: (entry) => {
      orphanedRuns.dropAll(entry.id);
      const worker = makeWorker(entry);
      setWorker(worker);
      teamUsage.setWorkerUse(entry.id, new Map());
      return worker;
    },
    updateWorker,
    dropWorker: (workerId) => {
      orphanedRuns.dropAll(workerId);
      workers.delete(workerId);
      teamUsage.setWorkerUse(workerId, new Map());
      changes.addWorker(workerId);
    },
    refreshUsedCapacity,
    recordJobChange: changes.addJob,
    getChanges: changes.get,
    takeChanges: changes.take,
  };
}
