/**
 * Chooses the upstream process for a request by the power of two random choices: of two different
 * candidates, the one with the lower load. The load is the number of this entry's requests in
 * progress, multiplied by a penalty for bad health.
 */
import type { Random } from '../ports/random.js';

/** An upstream that may be chosen. */
export interface Candidate {
  readonly id: string;
  /** Address `ip:port` of the process. */
  readonly address: string;
  /** Requests of this entry in progress at the upstream. */
  readonly inFlight: number;
  /** Factor on its load, 1 when it is healthy; see `computePenalty`. */
  readonly penalty?: number;
}

/** Computes the load of an upstream as it would be with one more request. */
export function computeLoad({ inFlight, penalty = 1 }: Candidate): number {
  return (inFlight + 1) * penalty;
}

/**
 * Chooses the less loaded of two random candidates, the first of them when their loads are equal;
 * undefined when there is no candidate.
 */
export function chooseUpstream<T extends Candidate>(
  candidates: readonly T[],
  random: Random,
): T | undefined {
  const firstIndex = Math.floor(random() * candidates.length);
  const step = 1 + Math.floor(random() * (candidates.length - 1));
  const first = candidates[firstIndex];
  const second = candidates[(firstIndex + step) % candidates.length];
  if (first === undefined || second === undefined) return first;
  return computeLoad(second) < computeLoad(first) ? second : first;
}
