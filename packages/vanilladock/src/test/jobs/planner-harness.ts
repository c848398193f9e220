/**
 * Harness that drives a pool's planner step by step, with workers, reports and an in-memory store.
 */
import {
  createPoolPlanner,
  type PoolAction,
  type PoolPlanner,
} from '../../lib/jobs/pool-planner.js';
import type { LeaseHolder } from '../../lib/jobs/lease-holder.js';
import type { DecisionEvent } from '../../lib/jobs/pool-context.js';
import type { TeamSources } from '../../lib/teams/team-budget.js';
import type { TeamCeilings } from '../../lib/teams/team-ceilings.js';
import { decodeProgress, type Progress } from '../../lib/jobs/progress.js';
import type { StartAction } from '../../lib/jobs/plan-starts.js';
import type { JobPolicy, JobSpec, StepSpec } from '../../lib/jobs/spec.js';
import type { EndedTask, RunningTask, WorkerEntry } from '../../lib/ports/task-workers.js';

export const POOL = 'stalls';
export const WALL_MS = 1_800_000_000_000;

export const POLICY: JobPolicy = {
  priority: 0,
  maxAttempts: 2,
  stretch: 1.6,
  targetLatencyMs: 600,
  advice: undefined,
};

export const makeStep = (change: Partial<StepSpec> = {}): StepSpec => ({
  count: 1,
  size: { cores: 1, memoryMb: 100, accelerators: 0 },
  estimateMs: 500,
  dependsOn: [],
  isCheckpointing: false,
  isGang: false,
  isSameRack: false,
  requiredLabel: undefined,
  dataRack: undefined,
  maxPerWorker: undefined,
  isSpeculative: false,
  isLasting: false,
  image: '',
  tailTargetMs: undefined,
  isFilling: false,
  maxUnavailable: undefined,
  ...change,
});

export const makeJob = (
  id: string,
  steps: readonly StepSpec[] = [makeStep()],
  change: Partial<JobSpec> = {},
): JobSpec => ({
  id,
  route: 'r-stalls',
  payload: 'p',
  steps,
  repeatCount: 0,
  startAtMs: 0,
  intervalMs: 0,
  ...change,
});

export const makeEntry = (id: string, change: Partial<WorkerEntry> = {}): WorkerEntry => ({
  id,
  bornMs: 1,
  address: `10.0.0.1:${id.length}`,
  pool: POOL,
  instance: `m-${id}`,
  rack: 'r1-1',
  labels: ['a', 'r1-1'],
  capacity: { cores: 4, memoryMb: 1000, accelerators: 0 },
  phase: 'ready',
  ...change,
});

export const makeRow = (
  taskKey: string,
  run: number,
  change: Partial<RunningTask> = {},
): RunningTask => ({ taskKey, run, checkpoint: '', percent: 10, load: 0, ...change });

export const makeEnd = (
  number: number,
  taskKey: string,
  run: number,
  how: EndedTask['how'] = 'done',
): EndedTask => ({ number, taskKey, run, how, checkpoint: '' });

/** Lists the keys of the tasks that a plan stops. */
export const listStops = (actions: readonly PoolAction[]) =>
  actions.flatMap((action) => (action.kind === 'stop' ? [action.taskKey] : []));

export interface Harness {
  readonly planner: PoolPlanner;
  readonly stored: Map<string, string>;
  readonly at: (nowMs: number) => { readonly nowMs: number; readonly wallMs: number };
  readonly addWorkers: (nowMs: number, ...entries: readonly WorkerEntry[]) => void;
  readonly report: (
    workerId: string,
    nowMs: number,
    running?: readonly RunningTask[],
    ended?: readonly EndedTask[],
    sentMs?: number,
  ) => readonly PoolAction[];
  readonly store: () => void;
  readonly submit: (spec: JobSpec, nowMs: number, policy?: JobPolicy, team?: string) => void;
  readonly planStarts: (nowMs: number) => readonly StartAction[];
  readonly accept: (starts: readonly StartAction[], nowMs: number) => void;
  readonly readProgress: (jobId: string) => Progress | undefined;
}

/** Makes the record of a worker whose known incarnation is the one that `report` names. */
const makeHolder = (holder: string | LeaseHolder): LeaseHolder =>
  typeof holder === 'string' ? { id: holder, bornMs: 1 } : holder;

export function createHarness(
  options: {
    readonly runBase?: number;
    /** Ids of workers whose incarnation is the first, or whole records of workers. */
    readonly inheritedWorkers?: readonly (string | LeaseHolder)[];
    /** Whether the preceding planner may still send orders. */
    readonly hasPredecessor?: boolean;
    /** Receives the entries of the decision log. */
    readonly report?: (event: DecisionEvent) => void;
    readonly teams?: TeamSources;
    readonly teamCeilings?: TeamCeilings;
  } = {},
): Harness {
  const planner = createPoolPlanner(POOL, {
    report: options.report ?? (() => {}),
    runBase: options.runBase ?? 0,
    inheritedWorkers: (options.inheritedWorkers ?? []).map(makeHolder),
    claimedMs: 0,
    statusMs: 60_000,
    teams: options.teams,
    teamCeilings: options.teamCeilings,
  });
  if (options.hasPredecessor !== true) planner.observePredecessorStopped(0);
  const stored = new Map<string, string>();
  const makeMoment = (nowMs: number) => ({ nowMs, wallMs: WALL_MS + nowMs });
  const writeBatch = () => {
    const batch = planner.takeStoreBatch();
    batch?.records.forEach(({ key, value }) => {
      if (value !== undefined) stored.set(key, value);
    });
    batch?.handleStored();
  };
  const report: Harness['report'] = (workerId, nowMs, running = [], ended = [], sentMs = nowMs) =>
    planner.observeReport(
      workerId,
      { report: { bornMs: 1, clockMs: nowMs, running, ended }, sentMs, receivedMs: nowMs },
      makeMoment(nowMs),
    );
  return {
    planner,
    stored,
    at: makeMoment,
    store: writeBatch,
    report,
    addWorkers: (nowMs, ...entries) => {
      planner.observeWorkers(entries, makeMoment(nowMs));
      planner.markWorkersRecorded(entries.map(({ id }) => id));
      entries.forEach(({ id }) => report(id, nowMs));
    },
    submit: (spec, nowMs, policy = POLICY, team = undefined) => {
      planner.submit(spec, policy, makeMoment(nowMs), { team });
      writeBatch();
    },
    planStarts: (nowMs) =>
      planner
        .plan(makeMoment(nowMs))
        .flatMap((action) => (action.kind === 'start' ? [action] : [])),
    accept: (starts, nowMs) =>
      starts.forEach((start) =>
        planner.observeStart(start, { kind: 'accepted', clockMs: nowMs }, makeMoment(nowMs)),
      ),
    readProgress: (jobId) => {
      const text = stored.get(`${POOL}:${jobId}:p`);
      return text === undefined ? undefined : decodeProgress(text);
    },
  };
}
