/**
 * The fleet and the workload of the placement measurement, reproducible from a seed: 950 workers in
 * 241 pools, 340 teams, task kinds whose declared sizes are wrong by a factor of up to ten, and
 * some tasks that can never succeed.
 */
import type { Work } from '@vanilladock/stand-ins/lib/worker-model.js';
import type { Random, Resources, Urgency } from 'vanilladock';
import type { PoolView, WorkerView } from 'vanilladock/lib/placement/plan-input.js';

/** Number of workers. */
export const WORKERS = 950;
/** Number of pools. */
export const POOLS = 241;
/** Number of teams. */
export const TEAMS = 340;
/** Number of cores that the running tasks of one team may use at once. */
export const TEAM_QUOTA_CORES = 160;
/** Capacity of every worker. */
export const WORKER_CAPACITY: Resources = { cores: 32, memoryMb: 65_536, accelerators: 0 };

const WORKERS_PER_RACK = 4;
const DATA_CENTRES = 7;
const REGIONS = 3;
const KINDS_PER_URGENCY = 40;
/** Largest factor between the declared and the actual size of a task. */
const MISDECLARATION_FACTOR = 10;
/** Share of the tasks that fail wherever they run. */
const FAULTY_SHARE = 0.005;
/** Share of the tasks that need more memory than any worker has. */
const OVERSIZED_SHARE = 0.003;
const OVERSIZED_MB = 400_000;
const RESERVE_SHARE = 0.1;
const LEASE_MS = 30_000;

/** A kind of task: the actual needs of its tasks, up to a random spread. */
interface Kind {
  readonly name: string;
  readonly needs: Resources;
  readonly runMs: number;
}

/** A task of the workload. */
export interface WorkTask {
  readonly taskId: string;
  readonly team: string;
  readonly pool: string;
  readonly urgency: Urgency;
  readonly taskKind: string;
  readonly declared: Resources;
  readonly work: Work;
  /** Whether no worker can ever complete it. */
  readonly isUnrunnable: boolean;
}

/** Builds the pools; workers of one rack belong to different pools. */
export function buildPools(): readonly PoolView[] {
  const workers = Array.from({ length: WORKERS }, (_, index): WorkerView => {
    const rack = Math.floor(index / WORKERS_PER_RACK);
    const dataCentre = rack % DATA_CENTRES;
    const location = {
      region: `region-${dataCentre % REGIONS}`,
      dataCentre: `dc-${dataCentre}`,
      rack: `rack-${rack}`,
    };
    return { id: `worker-${index}`, location, capacity: WORKER_CAPACITY, isOpen: true };
  });
  return Array.from({ length: POOLS }, (_, index) => ({
    name: `pool-${index}`,
    workers: workers.filter((_worker, position) => position % POOLS === index),
    urgentReserveShare: RESERVE_SHARE,
    taskLeaseMs: LEASE_MS,
  }));
}

/** Bounds of the mean run time of a kind of task, by urgency. */
const RUN_MS = {
  quick: [2_000, 20_000],
  heavy: [20_000, 120_000],
  patient: [60_000, 240_000],
} as const;

/** Draws a number between two bounds, uniformly on a logarithmic scale. */
function pickLog(random: Random, low: number, high: number): number {
  return low * (high / low) ** random();
}

/** Picks a random item of a list. Throws when the list is empty. */
export function pickItem<T>(random: Random, items: readonly T[]): T {
  const picked = items[Math.floor(random() * items.length)];
  if (picked === undefined) throw new Error('cannot pick from an empty list');
  return picked;
}

/** Builds the task kinds of one urgency. */
function buildKinds(random: Random, urgency: Urgency): readonly Kind[] {
  const [shortest, longest] = RUN_MS[urgency];
  return Array.from({ length: KINDS_PER_URGENCY }, (_, index) => ({
    name: `${urgency}-${index}`,
    needs: {
      cores: Math.round(pickLog(random, 0.5, 8) * 10) / 10,
      memoryMb: Math.round(pickLog(random, 500, 12_000)),
      accelerators: 0,
    },
    runMs: pickLog(random, shortest, longest),
  }));
}

/** A generator of the workload's tasks. */
export interface TaskSource {
  readonly makeTask: (urgency: Urgency, pools: readonly string[]) => WorkTask;
}

/** Creates a generator of tasks; the task kinds are drawn first. */
export function createTaskSource(random: Random): TaskSource {
  const kinds = {
    quick: buildKinds(random, 'quick'),
    heavy: buildKinds(random, 'heavy'),
    patient: buildKinds(random, 'patient'),
  };
  let taskCount = 0;
  return {
    makeTask: (urgency, pools) => {
      const kind = pickItem(random, kinds[urgency]);
      taskCount += 1;
      const factor = pickLog(random, 1 / MISDECLARATION_FACTOR, MISDECLARATION_FACTOR);
      const memoryFactor = pickLog(random, 1 / MISDECLARATION_FACTOR, MISDECLARATION_FACTOR);
      const spread = 0.8 + 0.4 * random();
      const draw = random();
      const isFaulty = draw < FAULTY_SHARE;
      const isOversized = !isFaulty && draw < FAULTY_SHARE + OVERSIZED_SHARE;
      const memoryMb = isOversized ? OVERSIZED_MB : kind.needs.memoryMb * spread;
      return {
        taskId: `task-${taskCount}`,
        team: `team-${Math.floor(random() * TEAMS)}`,
        pool: pickItem(random, pools),
        urgency,
        taskKind: isOversized ? `${kind.name}-oversized` : kind.name,
        declared: {
          cores: Math.max(0.1, kind.needs.cores * factor),
          memoryMb: Math.max(50, kind.needs.memoryMb * memoryFactor),
          accelerators: 0,
        },
        work: {
          needs: { cores: kind.needs.cores * spread, memoryMb, accelerators: 0 },
          runMs: kind.runMs * spread,
          isFaulty,
        },
        isUnrunnable: isFaulty || isOversized,
      };
    },
  };
}
