/**
 * Simulation of several whole instances in front of the workers of some pools, with timers that the
 * test advances: real claims and planners, a store in memory, notices as direct calls. Instances are
 * stopped and killed, and start again under their names.
 */
import type { JobSpec, StepSpec } from 'vanilladock/lib/jobs/spec.js';
import { makeTaskKey } from 'vanilladock/lib/jobs/spec.js';
import type { Member } from 'vanilladock/lib/duties/claim-table.js';
import type { PeerOutcome } from 'vanilladock/lib/duties/authority.js';
import type { SentNotice } from '../lib/jobs/peer-messages.js';
import { POLICY, SPEC, STEP } from './job-fixtures.js';
import { NEVER, waitFor } from './memory-store.js';
import { createPlannerLives } from './planner-lives.js';
import { createPolledStore } from './polled-store.js';
import { startSimulatedInstance, type SimulatedInstance } from './simulated-instance.js';
import { createWorkerPlaces } from './worker-places.js';

export const POOLS = ['stalls', 'kilns', 'looms'] as const;

/** Time for which a process that is told to stop plans on, unless another instance takes over. */
const HOLD_MS = 2_500;

/** Time from a stop to the exit of the process. */
const EXIT_MS = 2_600;

/** Time from the exit of a process to its next start. */
const START_AGAIN_MS = 700;

/** A notice without an answer counts as unanswered after this time. */
const NOTICE_TIMEOUT_MS = 400;

/** Longest time of one way of a call to the store, and of a notice. */
const MAX_WAY_MS = 4;

const BATCH_MS = 400;
const TASKS_PER_JOB = 2;
const SUBMIT_RETRY_MS = 100;

/** Of the runs of lasting tasks one in so many fails, after a time between these limits. */
const FAILING_SHARE = 3;
const MIN_FAILURE_MS = 3_000;
const MAX_FAILURE_MS = 12_000;

const LENIENT_POLICY = { ...POLICY, maxAttempts: 100, stretch: 100, targetLatencyMs: 100_000 };

/** Size of a simulation, and the seed of all that is drawn in it. */
export interface SimulationOptions {
  readonly seed: number;
  readonly instances?: number;
  readonly workersPerPool?: number;
}

/** A process name with its present instance; undefined while it is down. */
interface Process {
  readonly name: string;
  instance: SimulatedInstance | undefined;
  isStopping: boolean;
}

export type InstanceSimulation = ReturnType<typeof createInstanceSimulation>;

/** Creates the simulation; time passes only when the clock in force ticks. */
export function createInstanceSimulation(options: SimulationOptions) {
  const { seed, instances = 4, workersPerPool = 4 } = options;
  const lives = createPlannerLives();
  let random = seed;
  let jobCount = 0;
  let isOver = false;

  const pick = (max: number) => {
    random = (random * 48_271) % 2_147_483_647;
    return 1 + (random % max);
  };
  const pickWayMs = () => pick(MAX_WAY_MS);
  const store = createPolledStore({ pickMs: pickWayMs, handleStored: lives.observeStored });
  const places = createWorkerPlaces({
    pools: POOLS,
    workersPerPool,
    pick,
    getDurationMs: (taskKey) => (taskKey.startsWith('lasting') ? Infinity : BATCH_MS),
    pickFailureMs: (taskKey) =>
      taskKey.startsWith('lasting') && pick(FAILING_SHARE) === 1
        ? MIN_FAILURE_MS + pick(MAX_FAILURE_MS - MIN_FAILURE_MS)
        : Infinity,
    handleRenewed: lives.observeRenewal,
  });
  const processes: readonly Process[] = Array.from({ length: instances }, (_, index): Process => {
    return { name: `entry-${index}`, instance: undefined, isStopping: false };
  });
  /** Sends a notice to whichever incarnation is up at the address when it arrives. */
  const sendNotice = async (peer: Member, notice: SentNotice): Promise<PeerOutcome> => {
    const answerNotice = async (): Promise<PeerOutcome> => {
      await waitFor(pickWayMs());
      const receiver = processes.find(({ name }) => name === peer.address)?.instance;
      if (receiver === undefined) return NEVER;
      const view = receiver.claims.answerNotice(notice);
      await waitFor(pickWayMs());
      return receiver.isGone() ? NEVER : { kind: 'answered', view };
    };
    const silent = waitFor(NOTICE_TIMEOUT_MS).then(() => ({ kind: 'silent' }) as const);
    return Promise.race([answerNotice(), silent]);
  };
  const openProcess = (process: Process) => {
    const { name } = process;
    const instance = startSimulatedInstance({
      self: { id: `${name}~${Date.now()}`, name, address: name, cores: 1 },
      pools: POOLS,
      store,
      storePartitions: 8,
      workers: places.workers,
      advisor: { advise: () => NEVER },
      entries: places.entries,
      statusMs: 120_000,
      sendNotice,
      handleLog: ({ id }, fields) => lives.observeLog(id, fields),
    });
    Object.assign(process, { instance, isStopping: false });
  };
  const stopProcess = async (process: Process, instance: SimulatedInstance) => {
    if (process.instance !== instance) return;
    lives.observeExit(instance.self.id);
    instance.end();
    Object.assign(process, { instance: undefined });
    await waitFor(START_AGAIN_MS);
    if (!isOver) openProcess(process);
  };
  const findRunner = (pool: string) =>
    processes.flatMap(({ instance }) => instance?.findRunner(pool) ?? []).at(0);
  /** Submits a job to the planner of its pool until it is accepted; resolves to whether it was. */
  const submit = async (pool: string, id: string, step: StepSpec, attempts: number) => {
    const spec: JobSpec = { ...SPEC, id, steps: [step] };
    for (let attempt = 1; attempt <= attempts && !isOver; attempt += 1) {
      const request = { kind: 'submit', pool, spec, policy: LENIENT_POLICY } as const;
      const reply = await findRunner(pool)?.answer(request);
      if (reply?.kind === 'accepted') return true;
      await waitFor(SUBMIT_RETRY_MS);
    }
    return false;
  };
  processes.forEach((process) => setTimeout(() => openProcess(process), pick(100)));
  return {
    lives,
    places,
    violations: places.violations,
    countInstances: () => processes.length,
    /** Stops a process as the platform does, unless it is down or stopping. */
    stopInstance: async (index: number) => {
      const process = processes[index]!;
      const { instance, isStopping } = process;
      if (instance === undefined || isStopping) return;
      process.isStopping = true;
      const holdsUntilMs = performance.now() + HOLD_MS;
      void instance.release(() => performance.now() < holdsUntilMs);
      await waitFor(EXIT_MS);
      await stopProcess(process, instance);
    },
    /** Ends a process at once. */
    killInstance: async (index: number) => {
      const process = processes[index]!;
      if (process.instance !== undefined) await stopProcess(process, process.instance);
    },
    /** Submits lasting jobs, in turn to each pool. */
    submitLasting: (count: number) =>
      Promise.all(
        Array.from({ length: count }, async (_, index) => {
          const id = `lasting${index}`;
          const step = { ...STEP, count: TASKS_PER_JOB, isLasting: true };
          if (!(await submit(POOLS[index % POOLS.length]!, id, step, 50))) {
            places.violations.push(`${id} was not accepted`);
            return;
          }
          for (let task = 0; task < TASKS_PER_JOB; task += 1) {
            places.watchLasting(makeTaskKey(id, 0, 0, task));
          }
        }),
      ),
    /** Submits a job of a few short tasks to a drawn pool. */
    submitBatch: () => {
      jobCount += 1;
      const step = { ...STEP, count: 3, estimateMs: BATCH_MS };
      return submit(POOLS[pick(POOLS.length) - 1]!, `batch${jobCount}`, step, 20);
    },
    pick,
    /** Ends everything. */
    close: () => {
      isOver = true;
      places.stop();
      processes.forEach(({ instance }) => instance?.end());
    },
  };
}
