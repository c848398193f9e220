/** Fairness of what members keep, as one number. */

/**
 * Computes Jain's index of some shares: 1 when all are equal, 1 / n when one has everything. It is 1
 * when there is nothing to share.
 */
export function computeJain(shares: readonly number[]): number {
  const sum = shares.reduce((total, share) => total + share, 0);
  const squares = shares.reduce((total, share) => total + share * share, 0);
  return squares === 0 ? 1 : (sum * sum) / (shares.length * squares);
}
