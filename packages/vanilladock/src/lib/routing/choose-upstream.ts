/**
 * Chooses the upstream process for a request: of two candidates drawn at random, the one with fewer
 * requests of this entry in progress.
 */
import type { Random } from '../ports/random.js';

/** An upstream as the chooser sees it. */
export interface Candidate {
  readonly id: string;
  readonly address: string;
  /** Requests of this entry in progress there. */
  readonly inFlight: number;
}

/** Picks one of two random candidates; undefined when there is none. */
export function chooseUpstream<T extends Candidate>(
  candidates: readonly T[],
  random: Random,
): T | undefined {
  const one = candidates[Math.floor(random() * candidates.length)];
  const other = candidates[Math.floor(random() * candidates.length)];
  if (one === undefined || other === undefined) return undefined;
  return other.inFlight < one.inFlight ? other : one;
}
