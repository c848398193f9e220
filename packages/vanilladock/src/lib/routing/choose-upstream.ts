/**
 * Chooses the upstream process for a request: of two different candidates drawn at random, the less
 * loaded one by the requests of this entry in progress, weighed by health.
 */
import type { Random } from '../ports/random.js';

/** An upstream as the chooser sees it. */
export interface Candidate {
  readonly id: string;
  readonly address: string;
  /** Requests of this entry in progress there. */
  readonly inFlight: number;
  /** Factor of its load, 1 for a healthy one; see `computePenalty`. */
  readonly penalty?: number;
}

/** Computes the load that one more request would meet. */
export function computeLoad({ inFlight, penalty = 1 }: Candidate): number {
  return (inFlight + 1) * penalty;
}

/** Picks the less loaded of two random candidates; undefined when there is none. */
export function chooseUpstream<T extends Candidate>(
  candidates: readonly T[],
  random: Random,
): T | undefined {
  const first = Math.floor(random() * candidates.length);
  const step = 1 + Math.floor(random() * (candidates.length - 1));
  const one = candidates[first];
  const other = candidates[(first + step) % candidates.length];
  if (one === undefined || other === undefined) return one;
  return computeLoad(other) < computeLoad(one) ? other : one;
}
