/** Makes the state of a job that is new to a planner. */
import { computeObjectiveMs, computeTailChains, computeWork } from './estimate.js';
import { hasAnyProgress, type Progress } from './progress.js';
import { isLastingJob, type JobRecord } from './spec.js';
import type { Job, Moment } from './state.js';

/** Where a job comes from: a new submission, or the stored state of an earlier planner. */
export interface JobOrigin {
  /** Undefined if no progress was stored. */
  readonly progress: Progress | undefined;
  /** Earlier planners may have used run numbers up to this one; 0 for a new submission. */
  readonly runBase: number;
  readonly storedPhase: Job['storedPhase'];
}

/** Time by which the wall clocks of two instances may differ, in milliseconds. */
export const CLOCK_TOLERANCE_MS = 60_000;

/**
 * Computes for how long a job has ended at least, in milliseconds; the planner that recorded its end
 * may have had another clock.
 */
function computeEndedAgo(endedAtMs: number | undefined, wallMs: number): number {
  return Math.max(0, wallMs - CLOCK_TOLERANCE_MS - (endedAtMs ?? wallMs));
}

/**
 * Finds a number that runs of earlier planners have not gone beyond; of a task that fails often, they
 * may have used more numbers than a generation has.
 */
export function findLastRun(failedRuns: readonly number[], runBase: number): number {
  const lastFailed = Math.max(0, ...failedRuns);
  return lastFailed > runBase ? lastFailed + runBase : runBase;
}

/** Makes the job at a moment, without occurrences. */
export function makeJob(record: JobRecord, origin: JobOrigin, { nowMs, wallMs }: Moment): Job {
  const ageMs = Math.max(0, wallMs - record.acceptedAtMs);
  const { phase = 'active', endedAtMs } = origin.progress ?? {};
  const arrivedMs = nowMs - ageMs;
  return {
    record,
    phase,
    storedPhase: origin.storedPhase,
    hasStarted: origin.progress !== undefined && hasAnyProgress(origin.progress),
    arrivedMs,
    objectiveAtMs: arrivedMs + computeObjectiveMs(record.spec, record.policy),
    workCoreSeconds: computeWork(record.spec),
    tailChainsMs: computeTailChains(record.spec),
    isLasting: isLastingJob(record.spec),
    isInherited: origin.runBase > 0,
    occurrences: new Map(),
    finishedOccurrences: new Set(origin.progress?.occurrencesDone ?? []),
    failedWorkerIds: [],
    crashVersion: 0,
    storedCrashVersion: 0,
    finishedMs: phase === 'active' ? undefined : nowMs - computeEndedAgo(endedAtMs, wallMs),
    endedAtMs,
  };
}
