/**
 * Decides which workers are taken out of use. A worker is judged by its failures since its last
 * success, and only by those whose kind of task succeeds elsewhere: work that fails everywhere is not
 * blamed on the workers that tried it. A quarantined worker is tried again with one task at a time,
 * later after each failure. At most a share of a pool is in quarantine.
 */
import type { PlacementState, WorkerFailure } from './state.js';

/** Failures in a row that speak against a worker when they are of several kinds or teams. */
export const MIXED_FAILURES = 3;

/** Failures in a row that speak against a worker when all are of one kind and team. */
export const UNIFORM_FAILURES = 6;

/** Largest share of a pool's workers in quarantine; one worker is always allowed. */
export const QUARANTINED_SHARE = 0.5;

/** Time before the first probe of a quarantined worker, doubled after each failed one. */
export const PROBE_AFTER_MS = 10 * 60_000;

/** Longest time between probes. */
export const PROBE_LIMIT_MS = 4 * 3_600_000;

const HEALTHY_SUCCESSES = 2;
const HEALTHY_RATIO = 0.5;

/** Says whether a kind of task succeeds elsewhere, the given failures left out. */
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

/** Lists the failures of a worker that cannot be put down to the work. */
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

/** Says why a worker should be quarantined; undefined when the evidence does not suffice. */
export function explainEvidence(state: PlacementState, workerId: string): string | undefined {
  const blamed = listBlamedFailures(state, workerId);
  const origins = new Set(blamed.map(({ taskKind, team }) => `${taskKind}/${team}`));
  const isMixed = blamed.length >= MIXED_FAILURES && origins.size > 1;
  if (!isMixed && blamed.length < UNIFORM_FAILURES) return undefined;
  const kinds = [...new Set(blamed.map(({ taskKind }) => taskKind))].join(', ');
  return `${blamed.length} failures in a row of kinds that succeed elsewhere: ${kinds}`;
}

/** Says whether a pool has room for one more worker in quarantine. */
export function hasQuarantineRoom(quarantined: number, workers: number): boolean {
  return quarantined < Math.max(1, Math.floor(workers * QUARANTINED_SHARE));
}

/** Computes when a worker that has failed some probes may be probed again, after the last event. */
export function computeProbeDelay(failedProbes: number): number {
  return Math.min(PROBE_LIMIT_MS, PROBE_AFTER_MS * 2 ** failedProbes);
}
