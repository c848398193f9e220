/**
 * Simulation of several whole instances in front of the workers of some pools, with timers that the
 * test advances: real claims and planners, a store in memory, notices as direct calls. Instances are
 * stopped and killed, and start again under their names.
 */
import type { JobPolicy, JobSpec, StepSpec } from 'vanilladock/lib/jobs/spec.js';
import { makeTaskKey } from 'vanilladock/lib/jobs/spec.js';
import type { KeyedRecord } from 'vanilladock/lib/ports/keyed-store.js';
import type { Member } from 'vanilladock/lib/duties/claim-table.js';
import type { PeerOutcome } from 'vanilladock/lib/duties/authority.js';
import type { LogFields } from '../lib/json-log.js';
import type { SentNotice } from '../lib/jobs/peer-messages.js';
import { BehaviorSubject } from 'rxjs';
import type { WorkerEntry } from 'vanilladock/lib/ports/task-workers.js';
import {
  createLinkedStore,
  isIncomingLost,
  isOutgoingLost,
  makeOpenLinks,
  type Links,
} from './instance-links.js';
import { POLICY, SPEC, STEP } from './job-fixtures.js';
import { NEVER, waitFor } from './memory-store.js';
import { createPlannerLives } from './planner-lives.js';
import { createProcessClock, startProcessTimers, runOutside } from './process-clock.js';
import { createPolledStore } from './polled-store.js';
import { createSeededPick } from './seeded-pick.js';
import { startSimulatedInstance, type SimulatedInstance } from './simulated-instance.js';
import { createWorkerPlaces, type PlaceOptions } from './worker-places.js';

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
  readonly pools?: readonly string[];
  readonly workersPerPool?: number;
  /** How workers and tasks behave, where that differs from the tasks that are submitted here. */
  readonly behaviour?: Partial<
    Pick<
      PlaceOptions,
      'cores' | 'getTaskCores' | 'getDurationMs' | 'getCrashMs' | 'getMaxPerWorker'
    >
  >;
  /** Called with the records of each append that is stored. */
  readonly handleStored?: (records: readonly KeyedRecord[]) => void;
  /** Called with what the instances log. */
  readonly handleLog?: (instance: string, fields: LogFields) => void;
}

/** A process name with its present instance; undefined while it is down. */
interface Process {
  readonly name: string;
  readonly links: Links;
  instance: SimulatedInstance | undefined;
  isStopping: boolean;
}

export type InstanceSimulation = ReturnType<typeof createInstanceSimulation>;

/** Creates the simulation; time passes only when the clock in force ticks. */
export function createInstanceSimulation(options: SimulationOptions) {
  const { seed, instances = 4, workersPerPool = 4, pools = POOLS } = options;
  startProcessTimers();
  const lives = createPlannerLives();
  let jobCount = 0;
  let isOver = false;

  const pick = createSeededPick(seed);
  const pickWayMs = () => pick(MAX_WAY_MS);
  let lostDuty = '';
  let claimant = 0;
  /** Cuts the sender of the claim that is to be lost off from the store's answers. */
  const handleClaim = ({ key, value = '{}' }: KeyedRecord) => {
    if (lostDuty === '' || !key.endsWith(lostDuty)) return;
    const { holder } = JSON.parse(value) as { readonly holder?: string };
    const index = processes.findIndex(({ instance }) => instance?.self.id === holder);
    if (index < 0) return;
    lostDuty = '';
    claimant = index;
    Object.assign(processes[index]!.links, { store: 'unanswered' });
  };
  const store = createPolledStore({
    pickMs: pickWayMs,
    handleStored: (records) => {
      lives.observeStored(records);
      options.handleStored?.(records);
      records.forEach(handleClaim);
    },
  });
  const places = createWorkerPlaces({
    pools,
    workersPerPool,
    pick,
    getDurationMs: (taskKey) => (taskKey.startsWith('lasting') ? Infinity : BATCH_MS),
    pickFailureMs: (taskKey) =>
      taskKey.startsWith('lasting') && pick(FAILING_SHARE) === 1
        ? MIN_FAILURE_MS + pick(MAX_FAILURE_MS - MIN_FAILURE_MS)
        : Infinity,
    handleRenewed: lives.observeRenewal,
    ...options.behaviour,
  });
  const processes: readonly Process[] = Array.from({ length: instances }, (_, index): Process => {
    const links = makeOpenLinks();
    return { name: `entry-${index}`, links, instance: undefined, isStopping: false };
  });
  /** Sends a notice to whichever incarnation is up at the address when it arrives. */
  const sendNotice = async (
    { links }: Process,
    peer: Member,
    notice: SentNotice,
  ): Promise<PeerOutcome> => {
    const answerNotice = async (): Promise<PeerOutcome> => {
      await waitFor(pickWayMs());
      const process = processes.find(({ name }) => name === peer.address);
      const receiver = process?.instance;
      if (receiver === undefined || isOutgoingLost(links) || isIncomingLost(process!.links)) {
        return NEVER;
      }
      const view = await receiver.clock.call(() => receiver.claims.answerNotice(notice));
      await waitFor(pickWayMs());
      const isLost = receiver.isGone() || isOutgoingLost(process!.links) || isIncomingLost(links);
      return isLost ? NEVER : { kind: 'answered', view };
    };
    const silent = waitFor(NOTICE_TIMEOUT_MS).then(() => ({ kind: 'silent' }) as const);
    return Promise.race([answerNotice(), silent]);
  };
  const openProcess = (process: Process) => {
    const { name, links } = process;
    const clock = createProcessClock();
    const entries = new BehaviorSubject<ReadonlyMap<string, WorkerEntry>>(new Map());
    places.entries.subscribe((present) => void clock.call(() => entries.next(present)));
    const instance = startSimulatedInstance({
      self: { id: `${name}~${Date.now()}`, name, address: name, cores: 1 },
      clock,
      pools,
      store: createLinkedStore(store, links, pick),
      storePartitions: 8,
      workers: places.createWorkers({ name, getOnlyWorker: () => links.onlyWorker }),
      advisor: { advise: () => NEVER },
      entries,
      statusMs: 120_000,
      sendNotice: (peer, notice) => sendNotice(process, peer, notice),
      handleLog: ({ id }, fields) =>
        runOutside(() => {
          lives.observeLog(id, fields);
          options.handleLog?.(id, fields);
        }),
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
  /** Finds the process whose planner of a pool has the newest claim. */
  const findOwner = (pool: string) =>
    processes
      .flatMap((process, index) => {
        const { instance } = process;
        const runner = instance?.findRunner(pool);
        return instance && runner ? [{ index, instance, runner }] : [];
      })
      .sort((a, b) => b.runner.claim.token - a.runner.claim.token)
      .at(0);
  /** Submits a job to the planner of its pool until it is accepted; resolves to whether it was. */
  const submit = async (
    pool: string,
    id: string,
    steps: readonly StepSpec[],
    attempts: number,
    policy: JobPolicy = LENIENT_POLICY,
  ) => {
    const spec: JobSpec = { ...SPEC, id, steps };
    for (let attempt = 1; attempt <= attempts && !isOver; attempt += 1) {
      const request = { kind: 'submit', pool, spec, policy } as const;
      const owner = findOwner(pool);
      const reply = await owner?.instance.clock.call(() => owner.runner.answer(request));
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
    /** Returns the index of the process whose planner of a pool has the newest claim. */
    findOwner: (pool: string) => findOwner(pool)?.index,
    /** Sets links of a process, also of its later incarnations. */
    setLinks: (index: number, changed: Partial<Links>) => {
      Object.assign(processes[index]!.links, changed);
    },
    /** Cuts the sender of the next claim on a duty off from the store's answers. */
    loseNextClaim: (duty: string) => {
      lostDuty = duty;
    },
    /** Returns the index of the process whose claim was last lost. */
    getClaimant: () => claimant,
    getName: (index: number) => processes[index]!.name,
    /** Freezes a process for a time, unless it is down. */
    freezeInstance: async (index: number, ms: number, isClockStanding: boolean) =>
      processes[index]!.instance?.clock.freeze(ms, isClockStanding),
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
          if (!(await submit(pools[index % pools.length]!, id, [step], 50))) {
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
      return submit(pools[pick(pools.length) - 1]!, `batch${jobCount}`, [step], 20);
    },
    /** Submits a job to its pool until it is accepted; resolves to whether it was. */
    submit,
    pick,
    /** Ends everything. */
    close: () => {
      isOver = true;
      places.stop();
      processes.forEach(({ instance }) => instance?.end());
    },
  };
}
