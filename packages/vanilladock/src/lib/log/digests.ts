/** Compares the running digests of two entries to find the first offset at which they differ. */

/** The running digest after the record at an offset. */
export interface DigestAt {
  readonly offset: number;
  readonly digest: string;
}

/** Number of digests that are kept for comparison. */
export const DIGESTS_KEPT = 1024;

/**
 * Finds the first offset at which two lists differ, where `own` is ordered by offset; undefined
 * when they are equal wherever they overlap, or do not overlap. When they differ from the start of
 * the overlap, the actual first difference may be earlier.
 */
export function findFirstDifference(
  own: readonly DigestAt[],
  other: readonly DigestAt[],
): number | undefined {
  const known = new Map(other.map(({ offset, digest }) => [offset, digest]));
  return own.find(({ offset, digest }) => (known.get(offset) ?? digest) !== digest)?.offset;
}
