/** Points in time that are read on two clocks, for ages that must count a suspension. */

/**
 * A point in time on the monotonic and the wall clock, which diverge while a machine is suspended.
 */
export interface ClockPair {
  /** Monotonic, in milliseconds. */
  readonly nowMs: number;
  /** Milliseconds since 1970. */
  readonly wallMs: number;
}

/**
 * Computes the milliseconds from one point to another. The monotonic clock stops while a machine is
 * suspended and the wall clock does not, so the larger of the two differences counts.
 */
export function computeElapsedMs(since: ClockPair, current: ClockPair): number {
  return Math.max(current.nowMs - since.nowMs, current.wallMs - since.wallMs);
}
