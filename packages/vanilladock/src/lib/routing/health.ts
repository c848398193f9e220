/**
 * Passive health checks of one upstream: its health is derived from the share of recent requests
 * that failed and the time to the first byte of the others. An idle upstream gives no evidence. A
 * failing upstream is ejected for a while, and then on probation with one request at a time.
 */

/**
 * Outcome of a request, as far as it reflects the upstream's health; `latencyMs` is the time to the
 * first byte of the answer, in milliseconds.
 */
export type RequestOutcome =
  { readonly kind: 'answered'; readonly latencyMs: number } | { readonly kind: 'failed' };

/** Health of one upstream; times are on the monotonic clock, in milliseconds. */
export interface Health {
  /** Exponentially decayed share of failed requests, from 0 to 1. */
  readonly failureShare: number;
  /** Exponentially decayed mean time to the first byte of answers, in milliseconds. */
  readonly latencyMs: number;
  /** Number of answers so far; the latency has no meaning while it is 0. */
  readonly samples: number;
  /** Failures since the last answer. */
  readonly consecutiveFailures: number;
  /** Consecutive answers during probation. */
  readonly probationAnswers: number;
  /** Number of consecutive ejections; each lasts twice as long as the one before. */
  readonly consecutiveEjections: number;
  /** The upstream gets no work before this time; 0 without an ejection. */
  readonly ejectedUntilMs: number;
  /** When the last outcome was recorded, 0 before the first; older evidence counts less. */
  readonly observedAtMs: number;
}

/** The upstreams of a service, the ejected ones among them, and the limit of ejections. */
export interface EjectionLimits {
  readonly total: number;
  readonly ejected: number;
  /** Largest share of the upstreams that may be ejected, from 0 to 1. */
  readonly maxShare: number;
}

/** Whether an upstream may get work: without limit, one request at a time, or none. */
export type HealthState = 'healthy' | 'probation' | 'ejected';

/** Weight of the newest outcome in the share of failures. */
const FAILURE_SAMPLE_WEIGHT = 0.2;
/** Weight of the newest answer in the mean latency. */
const LATENCY_SAMPLE_WEIGHT = 0.1;
/** Consecutive failures that eject an upstream. */
const EJECT_CONSECUTIVE = 3;
/** Share of failed requests that ejects an upstream. */
const EJECT_SHARE = 0.6;
/** Duration of the first ejection. */
const EJECT_MS = 2_000;
/** Limit on the duration of an ejection, which doubles with each consecutive one. */
const MAX_EJECT_MS = 60_000;
/** Consecutive answers that end probation. */
const PROBATION_ANSWERS = 3;
/** Number of answers from which the latency affects the penalty. */
const MIN_LATENCY_SAMPLES = 20;
/** Limit on the factor by which latency raises the penalty. */
const MAX_LATENCY_PENALTY = 4;
/** Ratio to the median latency up to which an upstream gets no penalty. */
const TOLERATED_SLOWNESS = 1.5;
/** Smaller penalties count as none. */
const MIN_PENALTY = 1.1;
/** Limits the penalty of an upstream whose requests all fail. */
const MIN_SUCCESS_SHARE = 0.05;
/** Time without outcomes after which the evidence counts half. */
const EVIDENCE_HALF_LIFE_MS = 5_000;

/** Creates the health of an upstream that has had no requests yet. */
export function createHealth(): Health {
  return {
    failureShare: 0,
    latencyMs: 0,
    samples: 0,
    consecutiveFailures: 0,
    probationAnswers: 0,
    consecutiveEjections: 0,
    ejectedUntilMs: 0,
    observedAtMs: 0,
  };
}

/** Merges a new value into an exponentially decayed mean; `weight` is from 0 to 1. */
function mergeSample(mean: number, value: number, weight: number): number {
  return mean + (value - mean) * weight;
}

/**
 * Gets the health state of an upstream at a time on the monotonic clock. After an ejection it is on
 * probation until enough consecutive answers.
 */
export function getHealthState(health: Health, nowMs: number): HealthState {
  if (health.ejectedUntilMs > nowMs) return 'ejected';
  return health.consecutiveEjections > 0 ? 'probation' : 'healthy';
}

/** Folds an answer; probation ends after enough consecutive answers. */
function foldAnswer(health: Health, latencyMs: number, nowMs: number): Health {
  const isFirst = health.samples === 0;
  const probationAnswers =
    getHealthState(health, nowMs) === 'probation'
      ? health.probationAnswers + 1
      : health.probationAnswers;
  const isProbationOver = probationAnswers >= PROBATION_ANSWERS;
  return {
    failureShare: isProbationOver ? 0 : mergeSample(health.failureShare, 0, FAILURE_SAMPLE_WEIGHT),
    latencyMs: isFirst
      ? latencyMs
      : mergeSample(health.latencyMs, latencyMs, LATENCY_SAMPLE_WEIGHT),
    samples: health.samples + 1,
    consecutiveFailures: 0,
    probationAnswers: isProbationOver ? 0 : probationAnswers,
    consecutiveEjections: isProbationOver ? 0 : health.consecutiveEjections,
    ejectedUntilMs: isProbationOver ? 0 : health.ejectedUntilMs,
    observedAtMs: nowMs,
  };
}

/** Says whether there are enough failures for an ejection. */
function isFailing(health: Health, state: HealthState): boolean {
  switch (state) {
    case 'probation':
      return health.consecutiveFailures > 0;
    case 'healthy':
      return health.consecutiveFailures >= EJECT_CONSECUTIVE || health.failureShare >= EJECT_SHARE;
    case 'ejected':
      return false;
    default:
      return state satisfies never;
  }
}

/**
 * Folds a failure; ejects a failing upstream unless too many of its service are ejected already.
 */
function foldFailure(health: Health, limit: EjectionLimits, nowMs: number): Health {
  const failed: Health = {
    ...health,
    failureShare: mergeSample(health.failureShare, 1, FAILURE_SAMPLE_WEIGHT),
    consecutiveFailures: health.consecutiveFailures + 1,
    probationAnswers: 0,
    observedAtMs: nowMs,
  };
  const isEjectionAllowed = limit.ejected + 1 <= limit.maxShare * limit.total;
  if (!isEjectionAllowed || !isFailing(failed, getHealthState(health, nowMs))) return failed;
  const ejectionMs = Math.min(EJECT_MS * 2 ** health.consecutiveEjections, MAX_EJECT_MS);
  return {
    ...failed,
    consecutiveEjections: health.consecutiveEjections + 1,
    ejectedUntilMs: nowMs + ejectionMs,
  };
}

/**
 * Folds the outcome of one request into the health of its upstream. A failure may eject it: after
 * several in a row, a large share of failures, or any failure on probation, and only within the
 * limit.
 */
export function foldHealth(
  health: Health,
  outcome: RequestOutcome,
  limit: EjectionLimits,
  nowMs: number,
): Health {
  switch (outcome.kind) {
    case 'answered':
      return foldAnswer(health, outcome.latencyMs, nowMs);
    case 'failed':
      return foldFailure(health, limit, nowMs);
    default:
      return outcome satisfies never;
  }
}

/**
 * Computes the penalty by which an upstream's load is multiplied. An upstream that fails fast must
 * not look idle, and one that is slower than the median of its service counts as more loaded.
 * Without new outcomes the penalty decays to 1, so that a recovered upstream is tried again. The
 * penalty is never below 1; a median of 0 means unknown, and only failures count.
 */
export function computePenalty(health: Health, medianLatencyMs: number, nowMs: number): number {
  const freshness = 0.5 ** ((nowMs - health.observedAtMs) / EVIDENCE_HALF_LIFE_MS);
  const successShare = Math.max(MIN_SUCCESS_SHARE, 1 - health.failureShare * freshness);
  const hasLatency = health.samples >= MIN_LATENCY_SAMPLES && medianLatencyMs > 0;
  const slowness = hasLatency ? health.latencyMs / medianLatencyMs / TOLERATED_SLOWNESS : 1;
  const excess = Math.min(Math.max(1, slowness), MAX_LATENCY_PENALTY) - 1;
  const penalty = (1 + excess * freshness) / successShare;
  return penalty < MIN_PENALTY ? 1 : penalty;
}
