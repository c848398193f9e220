/**
 * Health of one upstream, judged from the work it has done: the share of recent requests that failed
 * and the time to the first byte of those that did not. An idle upstream is neither healthy nor
 * sick. A failing one is ejected for a while, then tried again with one request at a time.
 */

/** How a request to an upstream ended, as far as the upstream answers for it. */
export type Outcome =
  { readonly kind: 'answered'; readonly latencyMs: number } | { readonly kind: 'failed' };

/** Health of one upstream; times are on the monotonic clock. */
export interface Health {
  /** Decayed share of failed requests, from 0 to 1. */
  readonly failureShare: number;
  /** Decayed mean time to the first byte of answers, in milliseconds. */
  readonly latencyMs: number;
  /** Answers that the latency was learned from. */
  readonly samples: number;
  readonly consecutiveFailures: number;
  /** Answers in a row since the last ejection ended; counts up to the end of probation. */
  readonly trials: number;
  /** Ejections in a row, each twice as long as the one before. */
  readonly ejections: number;
  /** No work before this time; 0 when not ejected. */
  readonly ejectedUntilMs: number;
  /** When the last outcome was seen; older evidence counts for less. */
  readonly observedAtMs: number;
}

/** How many upstreams of a service there are and how many are ejected. */
export interface EjectionRoom {
  readonly total: number;
  readonly ejected: number;
  /** Largest share that may be ejected, from 0 to 1. */
  readonly maxShare: number;
}

/** Whether an upstream may be given work: freely, one request at a time, or not. */
export type HealthState = 'healthy' | 'probation' | 'ejected';

const FAILURE_DECAY = 0.2;
const LATENCY_DECAY = 0.1;
const EJECT_CONSECUTIVE = 3;
const EJECT_SHARE = 0.6;
const EJECT_MS = 2_000;
const MAX_EJECT_MS = 60_000;
const PROBATION_TRIALS = 3;
const MIN_LATENCY_SAMPLES = 20;
const MAX_LATENCY_PENALTY = 4;
const TOLERATED_SLOWNESS = 1.5;
const MIN_PENALTY = 1.1;
const MIN_SUCCESS_SHARE = 0.05;
const EVIDENCE_HALF_LIFE_MS = 5_000;

/** Creates the health of an upstream that has done no work yet. */
export function createHealth(): Health {
  return {
    failureShare: 0,
    latencyMs: 0,
    samples: 0,
    consecutiveFailures: 0,
    trials: 0,
    ejections: 0,
    ejectedUntilMs: 0,
    observedAtMs: 0,
  };
}

/** Moves a decayed mean towards a new value. */
function mergeSample(mean: number, value: number, decay: number): number {
  return mean + (value - mean) * decay;
}

/** Says whether an upstream may be given work at a time. */
export function getHealthState(health: Health, nowMs: number): HealthState {
  if (health.ejectedUntilMs > nowMs) return 'ejected';
  return health.ejections > 0 ? 'probation' : 'healthy';
}

/** Folds an answer: probation ends after enough answers in a row. */
function foldAnswer(health: Health, latencyMs: number, nowMs: number): Health {
  const isFirst = health.samples === 0;
  const trials = getHealthState(health, nowMs) === 'probation' ? health.trials + 1 : health.trials;
  const isOver = trials >= PROBATION_TRIALS;
  return {
    failureShare: isOver ? 0 : mergeSample(health.failureShare, 0, FAILURE_DECAY),
    latencyMs: isFirst ? latencyMs : mergeSample(health.latencyMs, latencyMs, LATENCY_DECAY),
    samples: health.samples + 1,
    consecutiveFailures: 0,
    trials: isOver ? 0 : trials,
    ejections: isOver ? 0 : health.ejections,
    ejectedUntilMs: isOver ? 0 : health.ejectedUntilMs,
    observedAtMs: nowMs,
  };
}

/** Says whether failures are many enough for an ejection. */
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

/** Folds a failure: ejects the upstream when it is failing and its service has room for that. */
function foldFailure(health: Health, room: EjectionRoom, nowMs: number): Health {
  const failed: Health = {
    ...health,
    failureShare: mergeSample(health.failureShare, 1, FAILURE_DECAY),
    consecutiveFailures: health.consecutiveFailures + 1,
    trials: 0,
    observedAtMs: nowMs,
  };
  const hasRoom = room.ejected + 1 <= room.maxShare * room.total;
  if (!hasRoom || !isFailing(failed, getHealthState(health, nowMs))) return failed;
  const lengthMs = Math.min(EJECT_MS * 2 ** health.ejections, MAX_EJECT_MS);
  return { ...failed, ejections: health.ejections + 1, ejectedUntilMs: nowMs + lengthMs };
}

/** Folds the outcome of one request into the health of its upstream. */
export function foldHealth(
  health: Health,
  outcome: Outcome,
  room: EjectionRoom,
  nowMs: number,
): Health {
  switch (outcome.kind) {
    case 'answered':
      return foldAnswer(health, outcome.latencyMs, nowMs);
    case 'failed':
      return foldFailure(health, room, nowMs);
    default:
      return outcome satisfies never;
  }
}

/**
 * Computes the factor by which an upstream's load counts for more than its requests in progress:
 * one that fails fast must not look idle, and one that is slower than its siblings counts as fuller.
 * The factor fades while nothing is seen and ends at 1, so that a recovered upstream is tried again.
 */
export function computePenalty(health: Health, medianLatencyMs: number, nowMs: number): number {
  const freshness = 0.5 ** ((nowMs - health.observedAtMs) / EVIDENCE_HALF_LIFE_MS);
  const successShare = Math.max(MIN_SUCCESS_SHARE, 1 - health.failureShare * freshness);
  const isKnown = health.samples >= MIN_LATENCY_SAMPLES && medianLatencyMs > 0;
  const slowness = isKnown ? health.latencyMs / medianLatencyMs / TOLERATED_SLOWNESS : 1;
  const excess = Math.min(Math.max(1, slowness), MAX_LATENCY_PENALTY) - 1;
  const penalty = (1 + excess * freshness) / successShare;
  return penalty < MIN_PENALTY ? 1 : penalty;
}
