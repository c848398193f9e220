/**
 * Simulation of a pool's planners for the state machine of late orders: two workers carry orders out late
 * without an answer, start again under their ids and are cut off, while planners take over from each
 * other. It records what goes against a cancel, a payload, a checkpoint or a gang.
 */
import { BehaviorSubject } from 'rxjs';
import type { JobSpec, StepSpec } from 'vanilladock/lib/jobs/spec.js';
import type { StartOrder, TaskWorkers, WorkerEntry } from 'vanilladock/lib/ports/task-workers.js';
import { startPoolRunner } from '../lib/jobs/pool-runner.js';
import { ENTRY, makeStoppedQuery, POLICY, POOL, RUNNER_BASE, SPEC, STEP } from './job-fixtures.js';
import { createMemoryStore, NEVER, waitFor } from './memory-store.js';
import { createSeededPick } from './seeded-pick.js';
import { makeTaskWorkers } from './simulated-orders.js';
import { createIncarnation, type Incarnation } from './simulated-worker.js';

export const SECOND_MS = 1_000;
const WORKER_IDS = ['w1', 'w2'] as const;
const BATCH_MS = 900;
const GANG_TASK_MS = 4_000;

/** Latest time at which an order without an answer is carried out. */
const MAX_LATE_MS = 3_000;

/** Time without faults, and after its start, by which a run of a cancelled job has to end. */
const END_MS = 3_000;

/** Time for which a member of a gang waits for the others at its start. */
const GANG_WAIT_MS = 3_000;

const CHECK_MS = 100;

/** A member of a gang counts as waiting in vain if nothing was lost for this long before its start. */
const CALM_MS = 1_000;

const LENIENT_POLICY = { ...POLICY, maxAttempts: 100, stretch: 100, targetLatencyMs: 100_000 };

export const JOB_KINDS = ['lasting', 'gang', 'steps', 'repeated'] as const;

type JobKind = (typeof JOB_KINDS)[number];

/** What becomes of the orders to a worker; with `refused`, starts alone are rejected. */
export type Harm = 'lost' | 'unanswered' | 'late' | 'refused';

export type Fault =
  | { readonly kind: 'restart'; readonly worker: 0 | 1; readonly afterMs: number }
  | {
      readonly kind: 'harm';
      readonly worker: 0 | 1;
      readonly orders: Harm;
      readonly afterMs: number;
    }
  | { readonly kind: 'take-over' }
  | { readonly kind: 'late-starts'; readonly job: JobKind; readonly cancelMs: number }
  | { readonly kind: 'submit'; readonly job: JobKind }
  | { readonly kind: 'cancel'; readonly job: number };

export interface Step {
  readonly fault: Fault;
  readonly waitMs: number;
}

/** A worker id with its present incarnation, and what becomes of the orders to it. */
interface Place {
  readonly id: string;
  incarnation: Incarnation | undefined;
  orders: 'answered' | Harm;
}

const CHECKPOINTING: StepSpec = { ...STEP, isCheckpointing: true, estimateMs: BATCH_MS };

/** Makes a job of a kind; its payload is its id. */
const makeJob = (kind: JobKind, id: string, nowMs: number): JobSpec => {
  const job = { ...SPEC, id, payload: id };
  switch (kind) {
    case 'lasting':
      return { ...job, steps: [{ ...CHECKPOINTING, count: 2, isLasting: true }] };
    case 'gang':
      return { ...job, steps: [{ ...CHECKPOINTING, count: 2, isGang: true, maxPerWorker: 1 }] };
    case 'steps':
      return { ...job, steps: [CHECKPOINTING, { ...CHECKPOINTING, count: 3, dependsOn: [0] }] };
    case 'repeated': {
      const times = { repeatCount: 20, startAtMs: nowMs + 500, intervalMs: 400 };
      return { ...job, ...times, steps: [CHECKPOINTING] };
    }
    default:
      return kind satisfies never;
  }
};

/** Gets how long a task runs, by its job's kind. */
const getDurationMs = (taskKey: string) => {
  if (taskKey.startsWith('lasting')) return Infinity;
  return taskKey.startsWith('gang') ? GANG_TASK_MS : BATCH_MS;
};

const readJobId = (taskKey: string) => taskKey.split('.')[0]!;

/** Creates the simulation; time passes only when the clock ticks. */
export const createSimulation = (seed: number) => {
  const { store } = createMemoryStore();
  const entries = new BehaviorSubject<ReadonlyMap<string, WorkerEntry>>(new Map());
  const violations: string[] = [];
  const jobIds: string[] = [];
  const cancelledMs = new Map<string, number>();
  /** Checkpoint of each run of a gang, by job and run. */
  const gangCheckpoints = new Map<string, string>();
  /** Runs of gangs of which all members have been there at once, by job and run. */
  const completeGangs = new Set<string>();
  const counts = { starts: 0, lateStarts: 0, resumed: 0 };
  let bornCount = 0;
  let token = 0;
  let lastFaultMs = 0;
  /** As `lastFaultMs`, without refusals and cancels. */
  let lastLossMs = 0;

  const pickMs = createSeededPick(seed);
  const places: readonly Place[] = WORKER_IDS.map((id) => {
    return { id, incarnation: undefined, orders: 'answered' };
  });
  const setEntry = (id: string, bornMs: number) =>
    entries.next(
      new Map(entries.value).set(id, { ...ENTRY, id, bornMs, address: id, instance: id }),
    );
  const checkOrder = ({ taskKey, run, payload, checkpoint }: StartOrder) => {
    const jobId = readJobId(taskKey);
    const what = `${taskKey} run ${run}`;
    counts.starts += 1;
    if (checkpoint !== '') counts.resumed += 1;
    if (payload !== jobId) violations.push(`${what} with the payload ${payload}`);
    if (cancelledMs.has(jobId)) violations.push(`${what} is sent after the cancel`);
    const isGang = jobId.startsWith('gang');
    const ownPrefix = isGang ? `${jobId}.0.0.` : `${taskKey}/`;
    if (checkpoint !== '' && !checkpoint.startsWith(ownPrefix)) {
      violations.push(`${what} with the checkpoint ${checkpoint}`);
    }
    if (!isGang) return;
    const known = gangCheckpoints.get(`${jobId} ${run}`) ?? checkpoint;
    gangCheckpoints.set(`${jobId} ${run}`, checkpoint);
    if (known !== checkpoint) violations.push(`${what} with ${checkpoint} beside ${known}`);
  };
  const openIncarnation = (place: Place) => {
    bornCount += 1;
    const incarnation = createIncarnation(bornCount, getDurationMs, {
      handleStart: (taskKey) => {
        if (cancelledMs.has(readJobId(taskKey))) counts.lateStarts += 1;
      },
      handleAcknowledged: () => {},
    });
    Object.assign(place, { incarnation });
    setTimeout(() => {
      if (place.incarnation === incarnation) setEntry(place.id, incarnation.bornMs);
    }, pickMs(600));
  };
  const restart = async (place: Place, afterMs: number) => {
    Object.assign(place, { incarnation: undefined });
    await waitFor(afterMs);
    if (place.incarnation === undefined) openIncarnation(place);
  };
  /** Has an order executed by whichever incarnation is up when it is carried out. */
  const takingWorkers = makeTaskWorkers(async (id, execute) => {
    const place = places.find((item) => item.id === id)!;
    const { orders } = place;
    await waitFor(pickMs(orders === 'late' ? MAX_LATE_MS : 30));
    const { incarnation } = place;
    if (orders === 'lost' || incarnation === undefined) return NEVER;
    const outcome = await execute(incarnation);
    await waitFor(pickMs(30));
    const isAnswered = orders === 'answered' || orders === 'refused';
    return isAnswered && place.incarnation === incarnation ? outcome : NEVER;
  });
  const workers: TaskWorkers = {
    ...takingWorkers,
    startTask: async (worker, order) => {
      checkOrder(order);
      if (places.find(({ id }) => id === worker.id)?.orders === 'refused') {
        await waitFor(pickMs(60));
        return { kind: 'rejected', why: 'unhealthy' };
      }
      return takingWorkers.startTask(worker, order);
    },
  };
  const startRunner = () => {
    token += 1;
    return startPoolRunner({
      ...RUNNER_BASE,
      store,
      workers,
      entries,
      claim: { duty: `pool/${POOL}`, holder: 'a', token },
      queryPredecessor: makeStoppedQuery(token - 1),
      handleLost: (why) => violations.push(`pool lost: ${why}`),
    });
  };
  /** Ends the members of gangs of which another one has ended, or has not come. */
  const stopIncompleteGangs = (nowMs: number) => {
    const members = places.flatMap(({ incarnation }) =>
      (incarnation?.listRuns() ?? [])
        .filter(({ taskKey }) => taskKey.startsWith('gang'))
        .map((run) => ({ incarnation, run, gang: `${readJobId(run.taskKey)} ${run.run}` })),
    );
    members.forEach(({ incarnation, run, gang }) => {
      if (members.filter((other) => other.gang === gang).length > 1) completeGangs.add(gang);
      else if (completeGangs.has(gang)) incarnation?.stopRun(run);
      else if (nowMs - run.startedMs > GANG_WAIT_MS) {
        incarnation?.stopRun(run);
        const hasLoss = lastLossMs > run.startedMs - CALM_MS;
        if (!hasLoss) violations.push(`${run.taskKey} run ${run.run} has waited alone`);
      }
    });
  };
  /** Finds runs of cancelled jobs that go on for too long. */
  const checkRuns = (nowMs: number) =>
    places.forEach(({ id, incarnation }) =>
      incarnation?.listRuns().forEach(({ taskKey, run, startedMs }) => {
        const ackedMs = cancelledMs.get(readJobId(taskKey));
        if (ackedMs === undefined) return;
        if (nowMs - Math.max(ackedMs, startedMs, lastFaultMs) <= END_MS) return;
        violations.push(`${taskKey} run ${run} on ${id} goes on after the cancel`);
      }),
    );
  places.forEach(openIncarnation);
  let runner = startRunner();
  const ticker = setInterval(() => {
    const nowMs = performance.now();
    const isLost = places.some(
      ({ orders, incarnation }) =>
        incarnation === undefined || (orders !== 'answered' && orders !== 'refused'),
    );
    if (isLost) lastLossMs = nowMs;
    if (isLost || places.some(({ orders }) => orders === 'refused')) lastFaultMs = nowMs;
    stopIncompleteGangs(nowMs);
    checkRuns(nowMs);
  }, CHECK_MS);

  const submit = async (kind: JobKind) => {
    const id = `${kind}${jobIds.length}`;
    const spec = makeJob(kind, id, Date.now());
    jobIds.push(id);
    await runner.answer({ kind: 'submit', pool: POOL, spec, policy: LENIENT_POLICY });
  };
  const cancel = async (jobId: string | undefined) => {
    if (jobId === undefined) return;
    const reply = await runner.answer({ kind: 'cancel', pool: POOL, jobId });
    if (reply.kind === 'cancelled' && !cancelledMs.has(jobId)) {
      cancelledMs.set(jobId, performance.now());
    }
  };
  const applyFault = async (fault: Fault) => {
    switch (fault.kind) {
      case 'restart':
        await restart(places[fault.worker]!, fault.afterMs);
        return;
      case 'harm': {
        const place = places[fault.worker]!;
        place.orders = fault.orders;
        await waitFor(fault.afterMs);
        place.orders = 'answered';
        return;
      }
      case 'take-over':
        runner.stop();
        runner = startRunner();
        lastFaultMs = performance.now();
        lastLossMs = performance.now();
        return;
      case 'late-starts':
        places.forEach((place) => Object.assign(place, { orders: 'late' }));
        void submit(fault.job);
        await waitFor(fault.cancelMs);
        await cancel(jobIds.at(-1));
        await waitFor(fault.cancelMs);
        places.forEach((place) => Object.assign(place, { orders: 'answered' }));
        return;
      case 'submit':
        await submit(fault.job);
        return;
      case 'cancel':
        await cancel(jobIds[fault.job % Math.max(1, jobIds.length)]);
        return;
      default:
        fault satisfies never;
    }
  };
  return {
    violations,
    counts,
    applyFault,
    submit,
    cancelAll: () => Promise.all(jobIds.map(cancel)),
    countRuns: () => places.flatMap(({ incarnation }) => incarnation?.listRuns() ?? []).length,
    stop: () => {
      clearInterval(ticker);
      runner.stop();
    },
  };
};
