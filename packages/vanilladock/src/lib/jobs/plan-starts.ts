/** Plans which waiting tasks start where. */
import type { WorkerTarget } from '../ports/task-workers.js';
import { estimateWorkerMs, LEASE_MS } from './lease-clock.js';
import { chooseWorker, isOpen, type PlaceRequest } from './place.js';
import type { PoolContext } from './pool-context.js';
import { compareQueueKeys, makeQueueKey } from './queue-order.js';
import { computeFootprint, computeRoom } from './room.js';
import { makeStepKey } from './spec.js';
import {
  makeAssignment,
  type Job,
  type Moment,
  type StepRun,
  type Task,
  type Worker,
} from './state.js';
import type { TicketBook } from './tickets.js';
import { listPlaces, listWaiting, type StepPlace } from './waiting-tasks.js';

/** A start to order. */
export interface StartAction {
  readonly kind: 'start';
  readonly worker: WorkerTarget;
  readonly taskKey: string;
  readonly run: number;
  readonly payload: string;
  readonly leaseUntilMs: number;
  readonly checkpoint: string;
  readonly ticket: string | undefined;
}

/** Asks the advisor which workers may run a step. */
export interface AdviseAction {
  readonly kind: 'advise';
  readonly stepKey: string;
  readonly workerIds: readonly string[];
}

/** What planning starts depends on beside the tables. */
export interface StartInputs {
  readonly at: Moment;
  /** Tasks of earlier planners may still run at workers that have not answered. */
  readonly isInheritanceDoubtful: boolean;
  readonly getMeanWork: (route: string) => number;
  readonly tickets: TicketBook;
}

/** Finds the rack that the step's tasks already use. */
function findSharedRack(context: PoolContext, stepRun: StepRun): string | undefined {
  const [first] = stepRun.assigned.values();
  return first === undefined ? undefined : context.table.workers.get(first)?.entry.rack;
}

/** Creates the planner of starts for one pass over the queue. */
function createPass(context: PoolContext, inputs: StartInputs) {
  const { table } = context;
  const { at, tickets } = inputs;
  const reserved = new Set<string>();
  const starts: StartAction[] = [];
  const advice: AdviseAction[] = [];

  const listCandidates = (place: StepPlace): readonly Worker[] => {
    const free = [...table.workers.values()].filter((worker) => !reserved.has(worker.entry.id));
    if (place.job.record.policy.advice === undefined) return free;
    const stepKey = makeStepKey(place.job.record.spec.id, place.occurrence.number, place.stepIndex);
    const openIds = free.filter((w) => isOpen(w, at.nowMs)).map((w) => w.entry.id);
    const workerIds = tickets.takeQuestion(stepKey, openIds, at.nowMs);
    if (workerIds.length > 0) advice.push({ kind: 'advise', stepKey, workerIds });
    return free.filter((w) => tickets.findTicket(stepKey, w.entry.id, at.nowMs) !== undefined);
  };
  const assign = (place: StepPlace, task: Task, worker: Worker, run: number): StartAction => {
    const clock = worker.clock ?? { workerMs: 0, heardMs: at.nowMs };
    const leaseUntilMs = Math.round(estimateWorkerMs(clock, at.nowMs) + LEASE_MS);
    const state = makeAssignment(worker.entry.id, run, {
      phase: 'starting',
      leaseUntilMs,
      percentMs: at.nowMs,
    });
    table.moveTask(task, state, { lastRun: run });
    table.updateWorker(worker.entry.id, {
      leaseUntilMs: Math.max(worker.leaseUntilMs, leaseUntilMs),
    });
    const stepKey = makeStepKey(task.jobId, task.occurrence, task.stepIndex);
    return {
      kind: 'start',
      worker: { id: worker.entry.id, address: worker.entry.address },
      taskKey: task.key,
      run,
      payload: place.job.record.spec.payload,
      leaseUntilMs,
      checkpoint: place.step.isCheckpointing ? task.checkpoint : '',
      ticket: tickets.findTicket(stepKey, worker.entry.id, at.nowMs),
    };
  };
  const makeRequest = (place: StepPlace, task: Task): PlaceRequest => ({
    task,
    step: place.step,
    stepRun: place.stepRun,
    footprint: computeFootprint(place.step),
    rack: place.step.isSameRack ? findSharedRack(context, place.stepRun) : undefined,
    nowMs: at.nowMs,
  });
  /** Keeps the emptiest worker free for a lasting task that fits nowhere yet. */
  const setReserve = (candidates: readonly Worker[]) => {
    const open = candidates.filter((worker) => isOpen(worker, at.nowMs));
    const [emptiest] = [...open].sort((a, b) => computeRoom(b).cores - computeRoom(a).cores);
    if (emptiest !== undefined) reserved.add(emptiest.entry.id);
  };
  const placeGang = (place: StepPlace) => {
    const waiting = listWaiting(table, place, at.nowMs);
    if (waiting.length < place.step.count) return;
    const run = Math.max(...waiting.map((task) => task.lastRun)) + 1;
    const candidates = listCandidates(place);
    const planned: StartAction[] = [];
    for (const task of waiting) {
      const current = candidates.map((w) => table.workers.get(w.entry.id) ?? w);
      const worker = chooseWorker(current, makeRequest(place, task));
      if (worker === undefined) {
        waiting.forEach((member) => {
          const placed = table.findTask(member.key);
          if (placed !== undefined)
            table.moveTask(placed, member.state, { lastRun: member.lastRun });
        });
        return;
      }
      planned.push(assign(place, task, worker, run));
    }
    starts.push(...planned);
  };
  const placeStep = (place: StepPlace) => {
    const waiting = listWaiting(table, place, at.nowMs);
    if (waiting.length === 0) return;
    const candidates = listCandidates(place);
    for (const task of waiting) {
      const current = candidates.map((w) => table.workers.get(w.entry.id) ?? w);
      const worker = chooseWorker(current, makeRequest(place, task));
      if (worker === undefined) {
        if (place.step.isLasting) setReserve(current);
        return;
      }
      starts.push(assign(place, task, worker, task.lastRun + 1));
    }
  };
  return {
    placeJob: (job: Job) => {
      const before = starts.length;
      listPlaces(job).forEach((place) => {
        if (place.step.isGang) placeGang(place);
        else placeStep(place);
      });
      if (starts.length > before && !job.hasStarted) {
        table.updateJob(job.record.spec.id, { hasStarted: true });
      }
    },
    listActions: () => [...starts, ...advice],
  };
}

/** Plans starts for all jobs in the order of the queue, and marks the tasks as assigned. */
export function planStarts(
  context: PoolContext,
  inputs: StartInputs,
): readonly (StartAction | AdviseAction)[] {
  const pass = createPass(context, inputs);
  const { nowMs } = inputs.at;
  const keys = [...context.table.jobs.values()]
    .filter((job) => job.phase === 'active' && job.storedPhase !== 'none')
    .filter((job) => !(job.isInherited && inputs.isInheritanceDoubtful))
    .map((job) => makeQueueKey(job, inputs.getMeanWork(job.record.spec.route), nowMs));
  keys.sort(compareQueueKeys);
  keys.forEach(({ job }) => pass.placeJob(job));
  return pass.listActions();
}
