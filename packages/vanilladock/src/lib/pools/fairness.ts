/** Fairness index of a set of shares. */

/**
 * Computes Jain's fairness index: 1 when all shares are equal, 1 / n when one of n has everything,
 * and 1 when there is nothing to share.
 */
export function computeJainIndex(shares: readonly number[]): number {
  const sum = shares.reduce((total, share) => total + share, 0);
  const squares = shares.reduce((total, share) => total + share * share, 0);
  return squares === 0 ? 1 : (sum * sum) / (shares.length * squares);
}
