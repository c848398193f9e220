/** Plans which waiting tasks start on which workers. */
import type { WorkerTarget } from '../ports/task-workers.js';
import { estimateWorkerMs, LEASE_MS } from './lease-clock.js';
import {
  chooseWorker,
  isAcceptingTasks,
  isEligible,
  type PlacementRequest,
} from './choose-worker.js';
import { releaseNeededWorkers } from './eject-workers.js';
import type { PoolContext } from './pool-context.js';
import { compareQueueKeys, makeQueueKey } from './queue-order.js';
import { computeFootprint, hasFreeCapacity } from './free-capacity.js';
import { createReservations } from './reservations.js';
import { makeStepKey } from './spec.js';
import {
  makeAssignment,
  type Job,
  type Moment,
  type StepRun,
  type Task,
  type Worker,
} from './state.js';
import type { TicketRegistry } from './tickets.js';
import { listStartableSteps, listWaitingTasks, type StartableStep } from './waiting-tasks.js';
import { recordTrialTask } from './worker-failures.js';

/** Order to start a task on a worker. */
export interface StartAction {
  readonly kind: 'start';
  readonly worker: WorkerTarget;
  readonly taskKey: string;
  /** Number of the run; higher than those of the task's earlier runs. */
  readonly run: number;
  readonly payload: string;
  /** End of the lease on the worker's monotonic clock, in milliseconds. */
  readonly leaseUntilMs: number;
  /** Checkpoint to continue from; empty for a start from the beginning. */
  readonly checkpoint: string;
  /** The advisor's ticket; undefined if the step needs none. */
  readonly ticket: string | undefined;
}

/** Query to the advisor: which of these workers may run the step. */
export interface AdviseAction {
  readonly kind: 'advise';
  readonly stepKey: string;
  readonly workerIds: readonly string[];
}

/** Actions of one pass over the queue, and what the pass could not use. */
export interface StartPlan {
  readonly actions: readonly (StartAction | AdviseAction)[];
  /** Number of workers reserved for lasting tasks that fit nowhere yet. */
  readonly reserved: number;
  /** Number of steps for which no accepting worker has a ticket of the advisor. */
  readonly ticketless: number;
}

/** Inputs for planning starts, in addition to the tables. */
export interface StartInputs {
  readonly at: Moment;
  /** Whether tasks of earlier planners may still run on workers that have not reported yet. */
  readonly isInheritanceUncertain: boolean;
  /** Returns the mean work of a job of the route, in core-seconds. */
  readonly getMeanWork: (route: string) => number;
  readonly tickets: TicketRegistry;
}

/** Finds the rack on which tasks of the step already run. */
function findSharedRack(context: PoolContext, stepRun: StepRun): string | undefined {
  const [first] = stepRun.assigned.values();
  return first === undefined ? undefined : context.table.workers.get(first)?.entry.rack;
}

/** Makes the key of a startable step. */
function makeStartableKey({ job, occurrence, stepIndex }: StartableStep): string {
  return makeStepKey(job.record.spec.id, occurrence.number, stepIndex);
}

/** Creates the state and operations of one pass over the queue. */
function createStartPass(context: PoolContext, inputs: StartInputs) {
  const { table } = context;
  const { at, tickets } = inputs;
  const reservations = createReservations(table, at.nowMs);
  const starts: StartAction[] = [];
  const advice: AdviseAction[] = [];
  let ticketless = 0;

  const findStepTicket = (startable: StartableStep, worker: Worker) =>
    tickets.findTicket(makeStartableKey(startable), worker.entry.id, at.nowMs);
  const queryAdvisor = (startable: StartableStep, workers: readonly Worker[]) => {
    const stepKey = makeStartableKey(startable);
    const ids = workers.map(({ entry }) => entry.id);
    const workerIds = tickets.takeQuery(stepKey, ids, at.nowMs);
    if (workerIds.length > 0) advice.push({ kind: 'advise', stepKey, workerIds });
  };
  const listCandidates = (startable: StartableStep): readonly Worker[] => {
    const free = [...table.workers.values()].filter(
      (worker) => !reservations.isReserved(worker.entry.id),
    );
    if (startable.job.record.policy.advice === undefined) return free;
    const accepting = free.filter((worker) => isAcceptingTasks(worker, at.nowMs));
    queryAdvisor(startable, accepting);
    const hasTicket = (worker: Worker) => findStepTicket(startable, worker) !== undefined;
    if (accepting.length > 0 && !accepting.some(hasTicket)) ticketless += 1;
    return free.filter(hasTicket);
  };
  /** Prepares for a later plan in which a task that no candidate has capacity for may start. */
  const handleUnplaced = (startable: StartableStep, request: PlacementRequest) => {
    releaseNeededWorkers(table, request);
    if (startable.job.record.policy.advice === undefined) return;
    const others = [...table.workers.values()].filter(
      (worker) =>
        isAcceptingTasks(worker, at.nowMs) &&
        hasFreeCapacity(worker, request.footprint) &&
        isEligible(worker, request) &&
        findStepTicket(startable, worker) === undefined,
    );
    queryAdvisor(startable, others);
  };
  const assignTask = (
    startable: StartableStep,
    task: Task,
    worker: Worker,
    run: number,
  ): StartAction => {
    const clock = worker.clock ?? { workerMs: 0, lastReportMs: at.nowMs };
    const leaseUntilMs = Math.round(estimateWorkerMs(clock, at.nowMs) + LEASE_MS);
    const state = makeAssignment(worker.entry.id, run, {
      phase: 'starting',
      leaseUntilMs,
      lastProgressMs: at.nowMs,
    });
    table.moveTask(task, state, { lastRun: run });
    table.updateWorker(worker.entry.id, {
      leaseUntilMs: Math.max(worker.leaseUntilMs, leaseUntilMs),
      ...(startable.step.isLasting
        ? {}
        : { failures: recordTrialTask(worker, task.key, at.nowMs) }),
    });
    return {
      kind: 'start',
      worker: { id: worker.entry.id, address: worker.entry.address },
      taskKey: task.key,
      run,
      payload: startable.job.record.spec.payload,
      leaseUntilMs,
      checkpoint: startable.step.isCheckpointing ? task.checkpoint : '',
      ticket: findStepTicket(startable, worker),
    };
  };
  const makeRequest = (startable: StartableStep, task: Task): PlacementRequest => ({
    task,
    step: startable.step,
    stepRun: startable.stepRun,
    footprint: computeFootprint(startable.step),
    rack: startable.step.isSameRack ? findSharedRack(context, startable.stepRun) : undefined,
    nowMs: at.nowMs,
  });
  const placeGang = (startable: StartableStep) => {
    const waiting = listWaitingTasks(table, startable, at.nowMs);
    if (waiting.length < startable.step.count) return;
    const run = Math.max(...waiting.map((task) => task.lastRun)) + 1;
    const candidates = listCandidates(startable);
    const planned: StartAction[] = [];
    for (const task of waiting) {
      const current = candidates.map((w) => table.workers.get(w.entry.id) ?? w);
      const worker = chooseWorker(current, makeRequest(startable, task));
      if (worker === undefined) {
        handleUnplaced(startable, makeRequest(startable, task));
        waiting.forEach((member) => {
          const assigned = table.findTask(member.key);
          if (assigned !== undefined)
            table.moveTask(assigned, member.state, { lastRun: member.lastRun });
        });
        return;
      }
      planned.push(assignTask(startable, task, worker, run));
    }
    starts.push(...planned);
  };
  const placeStep = (startable: StartableStep) => {
    const waiting = listWaitingTasks(table, startable, at.nowMs);
    if (waiting.length === 0) return;
    const candidates = listCandidates(startable);
    for (const task of waiting) {
      const current = candidates.map((w) => table.workers.get(w.entry.id) ?? w);
      const request = makeRequest(startable, task);
      const worker = chooseWorker(current, request);
      if (worker === undefined) {
        handleUnplaced(startable, request);
        if (startable.step.isLasting) reservations.add(current, request);
        return;
      }
      starts.push(assignTask(startable, task, worker, task.lastRun + 1));
    }
  };
  return {
    placeJob: (job: Job) => {
      const startsBefore = starts.length;
      listStartableSteps(job).forEach((startable) => {
        if (startable.step.isGang) placeGang(startable);
        else placeStep(startable);
      });
      if (starts.length > startsBefore && !job.hasStarted) {
        table.updateJob(job.record.spec.id, { hasStarted: true });
      }
    },
    getPlan: (): StartPlan => ({
      actions: [...starts, ...advice],
      reserved: reservations.count(),
      ticketless,
    }),
  };
}

/**
 * Plans starts for the stored jobs in queue order, and queries to the advisor; marks the started
 * tasks as assigned. Inherited jobs wait while the inheritance is uncertain. The tasks of a gang
 * start all at once or not at all.
 */
export function planStarts(context: PoolContext, inputs: StartInputs): StartPlan {
  const startPass = createStartPass(context, inputs);
  const { nowMs } = inputs.at;
  const keys = [...context.table.jobs.values()]
    .filter((job) => job.phase === 'active' && job.storedPhase !== 'none')
    .filter((job) => !(job.isInherited && inputs.isInheritanceUncertain))
    .map((job) => makeQueueKey(job, inputs.getMeanWork(job.record.spec.route), nowMs));
  keys.sort(compareQueueKeys);
  keys.forEach(({ job }) => startPass.placeJob(job));
  return startPass.getPlan();
}
