/**
 * Planner of one pool: takes in submissions, cancels, workers and their reports, and decides what to
 * start, stop and pace. It does no input or output; a daemon carries the actions out and tells their
 * outcomes. What must survive the planner is handed out as records to store.
 */
import type { OrderOutcome, TaskReport, WorkerEntry } from '../ports/task-workers.js';
import type { KeyedRecord } from '../ports/keyed-store.js';
import { admitJob, type Admission, type PoolLoad } from './admit-job.js';
import type { PoolDemand } from '../lending/plan-lending.js';
import { closeJob, releaseTask } from './apply-ends.js';
import { hasLeasePassed, LEASE_MS, CLOCK_DRIFT } from './lease-clock.js';
import { observeReport } from './observe-report.js';
import { planPaces, type PaceAction } from './pace.js';
import { isOpen } from './place.js';
import { planStarts, type AdviseAction, type StartAction } from './plan-starts.js';
import { planStops, type StopAction } from './plan-stops.js';
import type { DecisionEvent, PoolContext } from './pool-context.js';
import { encodeProgress, type Progress } from './progress.js';
import { createRateMeter } from './rate-meter.js';
import { computeFootprint } from './room.js';
import { computeWork } from './estimate.js';
import { isLastingJob, type JobPolicy, type JobRecord, type JobSpec, type StepSpec } from './spec.js';
import type { WorkerContent } from '../waves/plan-wave.js';
import type { Job, JobPhase, Moment, Task, Worker } from './state.js';
import { countDone, listReadySteps } from './ready-steps.js';
import { createTaskTable, type TaskTable } from './task-table.js';
import { createTicketBook, type TicketBook } from './tickets.js';

/** Something for the daemon to carry out. */
export type PoolAction = StartAction | StopAction | PaceAction | AdviseAction;

/** State of a job as told to its caller. */
export type JobAnswer = 'queued' | 'running' | 'completed' | 'failed' | 'cancelled' | 'unknown';

/** A pool's settings that planning depends on. */
export interface PlannerOptions {
  readonly report: (event: DecisionEvent) => void;
  /** Runs up to this number may have been used by earlier planners. */
  readonly runBase: number;
  /** Workers that may hold leases from an earlier planner. */
  readonly inheritedWorkers: readonly string[];
  readonly startedMs: number;
  /** How long finished jobs are remembered. */
  readonly statusMs: number;
}

/** Records to store, with what to do when they are. */
export interface StoreBatch {
  readonly records: readonly KeyedRecord[];
  /** Jobs that the store has not seen yet. */
  readonly newJobs: readonly string[];
  readonly jobIds: readonly string[];
  readonly handleStored: () => void;
}

/** The planner of one pool. */
export interface PoolPlanner {
  readonly table: TaskTable;
  readonly tickets: TicketBook;
  readonly loadJob: (record: JobRecord, progress: Progress | undefined, at: Moment) => void;
  /** Decides on a submission and, when admitted, takes it in as not stored yet. */
  readonly submit: (spec: JobSpec, policy: JobPolicy, at: Moment) => Admission | 'known';
  readonly cancel: (jobId: string, at: Moment) => 'cancelling' | 'ended' | 'unknown';
  readonly getAnswer: (jobId: string) => JobAnswer;
  readonly isStored: (jobId: string) => boolean;
  readonly countPending: (route: string) => number;
  readonly observeWorkers: (entries: readonly WorkerEntry[], at: Moment) => void;
  readonly observeReport: (workerId: string, timed: TimedLife, at: Moment) => readonly PaceAction[];
  readonly observeMiss: (workerId: string, at: Moment) => void;
  readonly observeLifeEnd: (workerId: string, why: string) => void;
  readonly observeStart: (action: StartAction, outcome: OrderOutcome, at: Moment) => void;
  readonly observeStop: (action: StopAction, outcome: OrderOutcome, at: Moment) => void;
  /** Keeps new tasks off a worker for a moment, moves its lasting ones, and says what it has, once that is known. */
  readonly evacuate: (workerId: string, at: Moment) => WorkerContent | undefined;
  /** Tells the pool's demand and what each of its workers has. */
  readonly getDemand: (at: Moment) => PoolDemand;
  readonly markEndsStored: (workerId: string, bornMs: number, lastEnd: number) => void;
  readonly plan: (at: Moment) => readonly PoolAction[];
  readonly takeStoreBatch: () => StoreBatch | undefined;
  /** Forgets submissions that the store has refused, and keeps the rest of the batch to store. */
  readonly dropUnstored: (batch: StoreBatch) => void;
  /** Lists the workers that may hold leases, or are about to. */
  readonly listLeaseHolders: () => readonly string[];
  readonly markWorkersRecorded: (ids: readonly string[]) => void;
}

/** A report with the times of its call. */
export interface TimedLife {
  readonly report: TaskReport;
  readonly sentMs: number;
  readonly heardMs: number;
}

/** Pause before a task is tried again after a rejection. */
const RETRY_START_MS = 100;

/** Batch jobs after which a pool's demand is taken as known. */
const JOBS_OF_A_PEAK = 8;

/** Pause of a worker that reported itself unhealthy. */
const UNHEALTHY_PAUSE_MS = 500;

/** A worker that failed tasks of several jobs is tried again after this time. */
const BARRED_MS = 4_000;

const MS_PER_SECOND = 1000;

/** An evacuation lapses when it is not asked for again within this time. */
const EVACUATION_MS = 3_000;

/** Extra wait for leases of an earlier planner beyond their length. */
const INHERITED_SLACK_MS = 200;

/** Key of a job's record; a colon cannot occur in an id. */
export function makeJobKey(pool: string, jobId: string): string {
  return `${pool}:${jobId}`;
}

/** Key of a job's progress. */
export function makeProgressKey(pool: string, jobId: string): string {
  return `${pool}:${jobId}:p`;
}

/** Sums the core-seconds of batch work that has not ended. */
function computeBacklog(table: TaskTable): number {
  let sum = 0;
  table.jobs.forEach((job) => {
    if (job.phase !== 'active' || job.isLasting) return;
    job.occurrences.forEach((occurrence) => {
      job.record.spec.steps.forEach((step, index) => {
        const done = occurrence.steps[index]?.done.size ?? 0;
        sum += ((step.count - done) * step.size.cores * step.estimateMs) / MS_PER_SECOND;
      });
    });
  });
  return sum;
}

/** Describes a step for the log: its shape and whatever restricts its placement. */
function describeStep(step: StepSpec): string {
  const marks = [
    step.isLasting ? 'lasting' : '',
    step.isFilling ? 'filling' : '',
    step.isGang ? 'gang' : '',
    step.isCheckpointing ? 'checkpoints' : '',
    step.maxPerWorker === undefined ? '' : `spread=${step.maxPerWorker}`,
    step.maxUnavailable === undefined ? '' : `away=${step.maxUnavailable}`,
    step.tailTargetMs === undefined ? '' : `tail=${step.tailTargetMs}`,
    step.requiredLabel === undefined ? '' : `label=${step.requiredLabel}`,
    step.dataRack === undefined ? '' : `rack=${step.dataRack}`,
  ].filter((mark) => mark !== '');
  const size = `${step.count}x${step.size.cores}c/${step.size.memoryMb}MB/${step.estimateMs}ms`;
  return [size, ...marks].join(' ');
}

/** Says whether a task has anything that must be stored. */
function hasResult(task: Task): boolean {
  return task.failures > 0 || task.state.kind === 'done';
}

/** Says whether the pool has had a peak: enough batch jobs to judge its demand by. */
function hasBatchWork(table: TaskTable): boolean {
  let count = 0;
  table.jobs.forEach((job) => {
    if (!job.isLasting) count += 1;
  });
  return count >= JOBS_OF_A_PEAK;
}

/** Sums the cores of the batch tasks that run or could start. */
function computeRunnableCores(table: TaskTable): number {
  let sum = 0;
  table.jobs.forEach((job) => {
    if (job.phase !== 'active' || job.isLasting) return;
    job.occurrences.forEach((occurrence) =>
      listReadySteps(job.record.spec, occurrence).forEach((index) => {
        const open = (job.record.spec.steps[index]?.count ?? 0) - countDone(occurrence, index);
        sum += open * (job.record.spec.steps[index]?.size.cores ?? 0);
      }),
    );
  });
  return sum;
}

/** Computes what admission knows of the pool. */
function computePoolLoad(table: TaskTable, nowMs: number): PoolLoad {
  let cores = 0;
  let largestWorker: PoolLoad['largestWorker'];
  table.workers.forEach((worker) => {
    if (!worker.isListed) return;
    const { capacity } = worker.entry;
    if (isOpen(worker, nowMs)) cores += capacity.cores;
    largestWorker = {
      cores: Math.max(capacity.cores, largestWorker?.cores ?? 0),
      memoryMb: Math.max(capacity.memoryMb, largestWorker?.memoryMb ?? 0),
      accelerators: Math.max(capacity.accelerators, largestWorker?.accelerators ?? 0),
    };
  });
  return { backlogCoreSeconds: computeBacklog(table), cores, largestWorker };
}

/** Creates the planner of a pool. */
export function createPoolPlanner(pool: string, options: PlannerOptions): PoolPlanner {
  const table = createTaskTable();
  const tickets = createTicketBook();
  const dirtyJobs = new Set<string>();
  const newJobs = new Set<string>();
  const arrivals = createRateMeter();
  const meanWork = new Map<string, { readonly sum: number; readonly count: number }>();
  const unheard = new Set(options.inheritedWorkers);
  const doubtUntilMs =
    options.startedMs + LEASE_MS / (1 - CLOCK_DRIFT) + INHERITED_SLACK_MS;
  const context: PoolContext = { table, dirtyJobs, report: options.report };

  const noteWork = (job: Job) => {
    const { route } = job.record.spec;
    const known = meanWork.get(route) ?? { sum: 0, count: 0 };
    meanWork.set(route, { sum: known.sum + job.workCoreSeconds, count: known.count + 1 });
  };
  const getMeanWork = (route: string) => {
    const known = meanWork.get(route);
    return known === undefined ? 1 : known.sum / known.count;
  };
  const dropWorker = (worker: Worker, why: string) => {
    options.report({
      event: 'worker-lost',
      worker: worker.entry.id,
      why,
      tasks: worker.tasks.size,
      silentMs: worker.misses,
    });
    [...worker.tasks].forEach((key) => {
      const task = table.findTask(key);
      if (task !== undefined) releaseTask(context, task);
    });
    table.dropWorker(worker.entry.id);
    unheard.delete(worker.entry.id);
  };
  const observeLifeEnd = (workerId: string, why: string) => {
    const worker = table.workers.get(workerId);
    if (worker !== undefined) dropWorker(worker, why);
    unheard.delete(workerId);
  };
  const observeEntry = (entry: WorkerEntry) => {
    const known = table.workers.get(entry.id);
    if (known !== undefined && known.entry.bornMs !== entry.bornMs) {
      if (known.entry.bornMs > entry.bornMs) return;
      dropWorker(known, 'new-life');
    }
    if (table.workers.has(entry.id)) table.updateWorker(entry.id, { entry, isListed: true });
    else {
      table.addWorker(entry);
      options.report({
        event: 'worker-seen',
        worker: entry.id,
        bornMs: entry.bornMs,
        address: entry.address,
        rack: entry.rack,
        phase: entry.phase,
      });
    }
  };
  const expireSilent = (nowMs: number) => {
    [...table.workers.values()].forEach((worker) => {
      const isSilent = worker.misses > 0 && hasLeasePassed(worker.clock, worker.leaseUntilMs, nowMs);
      const hasLeft = !worker.isListed && worker.tasks.size === 0;
      if (isSilent && (worker.tasks.size > 0 || worker.strays.size > 0)) {
        [...worker.tasks].forEach((key) => {
          const task = table.findTask(key);
          if (task !== undefined) releaseTask(context, task);
        });
        worker.strays.clear();
        table.refreshLoad(worker.entry.id);
        options.report({ event: 'worker-leases-passed', worker: worker.entry.id });
      }
      if (hasLeft && (worker.misses > 0 || worker.strays.size === 0)) {
        table.dropWorker(worker.entry.id);
      }
    });
  };
  const openDueOccurrences = (wallMs: number) => {
    table.jobs.forEach((job) => {
      const { id, repeatCount, startAtMs, intervalMs } = job.record.spec;
      if (job.phase !== 'active' || repeatCount === 0) return;
      const dueCount = Math.floor((wallMs - startAtMs) / Math.max(1, intervalMs)) + 1;
      for (let number = 0; number < Math.min(dueCount, repeatCount); number += 1) {
        if (!job.finishedOccurrences.has(number)) table.openOccurrence(id, number);
      }
    });
  };
  const forgetFinished = (nowMs: number) => {
    table.jobs.forEach((job, id) => {
      const isOld = job.finishedMs !== undefined && nowMs - job.finishedMs > options.statusMs;
      if (isOld && job.storedPhase === job.phase) table.dropJob(id);
    });
  };
  const isInheritanceDoubtful = (nowMs: number) => unheard.size > 0 && nowMs < doubtUntilMs;

  return {
    table,
    tickets,
    loadJob: (record, progress, at) => {
      const storedPhase = progress?.phase ?? 'active';
      const job = table.addJob(record, { progress, runBase: options.runBase, storedPhase }, at);
      if (job.phase !== 'active') table.updateJob(record.spec.id, { finishedMs: at.nowMs });
      noteWork(job);
    },
    submit: (spec, policy, at) => {
      if (table.jobs.has(spec.id)) return 'known';
      const load = computePoolLoad(table, at.nowMs);
      if (!isLastingJob(spec)) arrivals.add(computeWork(spec), at.nowMs);
      const admission = admitJob(spec, policy, load);
      options.report({
        event: admission.kind === 'admitted' ? 'job-admitted' : 'job-refused',
        job: spec.id,
        route: spec.route,
        steps: spec.steps.map(describeStep),
        ...(admission.kind === 'refused' ? admission : {}),
        backlogCoreSeconds: Math.round(load.backlogCoreSeconds),
        cores: load.cores,
      });
      if (admission.kind === 'refused') return admission;
      const record: JobRecord = { spec, policy, acceptedAtMs: at.wallMs };
      const job = table.addJob(record, { progress: undefined, runBase: 0, storedPhase: 'none' }, at);
      noteWork(job);
      newJobs.add(spec.id);
      dirtyJobs.add(spec.id);
      return admission;
    },
    cancel: (jobId, at) => {
      const job = table.jobs.get(jobId);
      if (job === undefined) return 'unknown';
      if (job.phase !== 'active') return 'ended';
      closeJob(context, jobId, 'cancelled', at);
      return 'cancelling';
    },
    getAnswer: (jobId) => {
      const job = table.jobs.get(jobId);
      if (job === undefined) return 'unknown';
      const { storedPhase } = job;
      if (storedPhase === 'none' || storedPhase === 'active') {
        return job.hasStarted ? 'running' : 'queued';
      }
      return storedPhase;
    },
    isStored: (jobId) => {
      const job = table.jobs.get(jobId);
      return job !== undefined && job.storedPhase === job.phase;
    },
    countPending: (route) => {
      let count = 0;
      table.jobs.forEach((job) => {
        const isPending = job.phase === 'active' && !job.hasStarted && job.storedPhase !== 'none';
        if (isPending && job.record.spec.route === route) count += 1;
      });
      return count;
    },
    observeWorkers: (entries, { nowMs }) => {
      entries.forEach(observeEntry);
      const ids = new Set(entries.map((entry) => entry.id));
      table.workers.forEach((worker, id) => {
        if (ids.has(id) || !worker.isListed) return;
        table.updateWorker(id, { isListed: false });
        options.report({
          event: 'worker-unlisted',
          worker: id,
          answeredAgoMs: Math.round(nowMs - worker.answeredMs),
        });
      });
    },
    observeReport: (workerId, timed, at) => {
      const worker = table.workers.get(workerId);
      if (worker === undefined) return [];
      const { bornMs } = timed.report;
      if (bornMs !== undefined && bornMs !== worker.entry.bornMs) {
        const entry = { ...worker.entry, bornMs };
        dropWorker(worker, 'new-life');
        table.addWorker(entry);
        return [];
      }
      if (worker.misses > 0) options.report({ event: 'worker-regained', worker: workerId });
      observeReport(context, workerId, timed, at);
      unheard.delete(workerId);
      return planPaces(context, workerId, at);
    },
    observeMiss: (workerId, { nowMs }) => {
      const worker = table.workers.get(workerId);
      if (worker === undefined) return;
      const answeredAgoMs = Math.round(nowMs - worker.answeredMs);
      if (worker.misses === 0) {
        options.report({ event: 'worker-silent', worker: workerId, answeredAgoMs });
      }
      table.updateWorker(workerId, { misses: worker.misses + 1 });
    },
    observeLifeEnd,
    observeStart: (action, outcome, at) => {
      const task = table.findTask(action.taskKey);
      const isSame =
        task !== undefined && task.state.kind === 'assigned' && task.state.run === action.run;
      const worker = table.workers.get(action.worker.id);
      if (outcome.kind !== 'accepted') {
        options.report({
          event: 'start-not-confirmed',
          task: action.taskKey,
          run: action.run,
          worker: action.worker.id,
          outcome: outcome.kind,
          why: outcome.kind === 'rejected' ? outcome.why : undefined,
        });
      }
      if (!isSame || task.state.kind !== 'assigned') return;
      const { state } = task;
      switch (outcome.kind) {
        case 'accepted': {
          const confirmedMs = state.confirmedMs ?? at.nowMs;
          const phase = state.phase === 'starting' ? 'running' : state.phase;
          table.moveTask(task, { ...state, phase, confirmedMs, percentMs: at.nowMs });
          return;
        }
        case 'rejected':
          if (state.confirmedMs !== undefined) return;
          releaseTask(context, task, at.nowMs + RETRY_START_MS);
          if (outcome.why === 'unhealthy' && worker !== undefined) {
            table.updateWorker(worker.entry.id, { noStartBeforeMs: at.nowMs + UNHEALTHY_PAUSE_MS });
          }
          if (outcome.why === 'no-ticket') {
            const stepKey = `${task.jobId}.${task.occurrence}.${task.stepIndex}`;
            tickets.dropTicket(stepKey, action.worker.id);
          }
          return;
        case 'unknown':
          if (state.phase === 'starting') table.moveTask(task, { ...state, phase: 'stopping' });
          return;
        default:
          outcome satisfies never;
      }
    },
    observeStop: (action, outcome, at) => {
      const task = table.findTask(action.taskKey);
      if (task === undefined || task.state.kind !== 'assigned') return;
      if (task.state.run !== action.run || outcome.kind !== 'accepted') return;
      table.moveTask(task, { ...task.state, stopAnsweredMs: at.nowMs });
    },
    evacuate: (workerId, { nowMs }) => {
      table.updateWorker(workerId, { evacuateUntilMs: nowMs + EVACUATION_MS });
      const worker = table.workers.get(workerId);
      const isHeard = worker !== undefined && worker.clock !== undefined;
      if (!isHeard && nowMs < doubtUntilMs) return undefined;
      if (worker === undefined) return { lastingTasks: 0, batchTasks: 0 };
      const tasks = [...worker.tasks].flatMap((key) => table.findTask(key) ?? []);
      const lasting = tasks.filter((task) => table.findStep(task).isLasting);
      const lastingTasks = lasting.length + worker.strays.size;
      return { lastingTasks, batchTasks: tasks.length - lasting.length };
    },
    getDemand: ({ nowMs }) => {
      let lastingCores = 0;
      const workers = [...table.workers.values()].map((worker) => {
        const tasks = [...worker.tasks].flatMap((key) => table.findTask(key) ?? []);
        const lasting = tasks.filter((task) => table.findStep(task).isLasting);
        lasting.forEach((task) => {
          lastingCores += computeFootprint(table.findStep(task)).cores;
        });
        return {
          workerId: worker.entry.id,
          lastingTasks: lasting.length + worker.strays.size,
          batchTasks: tasks.length - lasting.length,
        };
      });
      return {
        pool,
        arrivalCores: arrivals.getRate(nowMs),
        runnableCores: computeRunnableCores(table),
        lastingCores,
        hasPeaked: hasBatchWork(table),
        workers,
      };
    },
    markEndsStored: (workerId, bornMs, lastEnd) => {
      const worker = table.workers.get(workerId);
      if (worker === undefined || worker.entry.bornMs !== bornMs) return;
      table.updateWorker(workerId, { storedEnd: Math.max(worker.storedEnd, lastEnd) });
    },
    plan: (at) => {
      expireSilent(at.nowMs);
      openDueOccurrences(at.wallMs);
      forgetFinished(at.nowMs);
      if (at.nowMs > doubtUntilMs) unheard.clear();
      table.workers.forEach((worker, id) => {
        const isPast = at.nowMs - worker.answeredMs > BARRED_MS && worker.tasks.size === 0;
        if (worker.failedJobs.length > 0 && isPast) table.updateWorker(id, { failedJobs: [] });
      });
      const stops = planStops(context, at);
      const doubtful = isInheritanceDoubtful(at.nowMs);
      const starts = planStarts(context, {
        at,
        isInheritanceDoubtful: doubtful,
        getMeanWork,
        tickets,
      });
      return [...stops, ...starts];
    },
    takeStoreBatch: () => {
      if (dirtyJobs.size === 0) return undefined;
      const phases = new Map<string, JobPhase>();
      const batchJobs = [...newJobs];
      const records = [...dirtyJobs].flatMap((id): readonly KeyedRecord[] => {
        const job = table.jobs.get(id);
        if (job === undefined) return [];
        phases.set(id, job.phase);
        const jobRecord = { key: makeJobKey(pool, id), value: JSON.stringify(job.record) };
        const tasks = table.listJobTasks(id);
        const isUntouched = job.phase === 'active' && !tasks.some(hasResult);
        const progress = { key: makeProgressKey(pool, id), value: encodeProgress(job, tasks) };
        if (!newJobs.has(id)) return [progress];
        return isUntouched ? [jobRecord] : [jobRecord, progress];
      });
      dirtyJobs.clear();
      newJobs.clear();
      return {
        records,
        newJobs: batchJobs,
        jobIds: [...phases.keys()],
        handleStored: () =>
          phases.forEach((storedPhase, id) => {
            if (table.jobs.has(id)) table.updateJob(id, { storedPhase });
          }),
      };
    },
    dropUnstored: (batch) => {
      batch.newJobs.forEach((id) => {
        table.dropTasks(table.listJobTasks(id));
        table.dropJob(id);
      });
      batch.jobIds.filter((id) => table.jobs.has(id)).forEach((id) => dirtyJobs.add(id));
    },
    listLeaseHolders: () => [...new Set([...table.workers.keys(), ...unheard])],
    markWorkersRecorded: (ids) => ids.forEach((id) => table.updateWorker(id, { isRecorded: true })),
  };
}

