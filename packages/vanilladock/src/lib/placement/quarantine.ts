/**
 * Rules for quarantining workers. Only failures since a worker's last success count, and only those
 * of task kinds that succeed elsewhere: a kind that fails everywhere is not evidence against a
 * worker. A quarantined worker is probed with one task at a time, with exponential backoff after
 * failed probes. At most a fixed share of a pool is in quarantine.
 */
import type { PlacementState, WorkerFailure } from './state.js';

/** Consecutive failures that quarantine a worker when they span several kinds or teams. */
export const MIXED_FAILURES = 3;

/** Consecutive failures that quarantine a worker when all are of one kind and team. */
export const UNIFORM_FAILURES = 6;

/** Largest share of a pool's workers in quarantine; one worker is always allowed. */
export const QUARANTINED_SHARE = 0.5;

/** Time before the first probe of a quarantined worker; doubles after each failed probe. */
export const PROBE_AFTER_MS = 10 * 60_000;

/** Longest time between probes. */
export const PROBE_LIMIT_MS = 4 * 3_600_000;

/** Least decayed count of successes of a kind that usually succeeds. */
const HEALTHY_SUCCESSES = 2;

/** Least share of successes, among successes and failures, of such a kind. */
const HEALTHY_RATIO = 0.5;

/** Says whether a kind of task usually succeeds, not counting `excludedFailures`. */
export function isHealthyKind(
  state: PlacementState,
  taskKind: string,
  excludedFailures: number,
): boolean {
  const kind = state.kinds.get(taskKind);
  if (kind === undefined || kind.successes < HEALTHY_SUCCESSES) return false;
  const failures = Math.max(0, kind.failures - excludedFailures);
  return kind.successes / (kind.successes + failures) >= HEALTHY_RATIO;
}

/** Lists the failures of a worker that the tasks themselves do not explain. */
export function listBlamedFailures(
  state: PlacementState,
  workerId: string,
): readonly WorkerFailure[] {
  const streak = state.workers.get(workerId)?.streak ?? [];
  return streak.filter(({ taskKind, isShort }) => {
    if (isShort) return false;
    const own = streak.filter((other) => other.taskKind === taskKind).length;
    return isHealthyKind(state, taskKind, own);
  });
}

/** Explains why a worker should be quarantined; undefined without sufficient evidence. */
export function explainEvidence(state: PlacementState, workerId: string): string | undefined {
  const blamed = listBlamedFailures(state, workerId);
  const origins = new Set(blamed.map(({ taskKind, team }) => `${taskKind}/${team}`));
  const isMixed = blamed.length >= MIXED_FAILURES && origins.size > 1;
  if (!isMixed && blamed.length < UNIFORM_FAILURES) return undefined;
  const kinds = [...new Set(blamed.map(({ taskKind }) => taskKind))].join(', ');
  return `${blamed.length} failures in a row of kinds that succeed elsewhere: ${kinds}`;
}

/** Says whether a pool with that many workers, and in quarantine, may quarantine one more. */
export function isQuarantineAllowed(quarantined: number, workers: number): boolean {
  return quarantined < Math.max(1, Math.floor(workers * QUARANTINED_SHARE));
}

/** Computes the delay in milliseconds before the next probe, after a number of failed probes. */
export function computeProbeDelay(failedProbes: number): number {
  return Math.min(PROBE_LIMIT_MS, PROBE_AFTER_MS * 2 ** failedProbes);
}
