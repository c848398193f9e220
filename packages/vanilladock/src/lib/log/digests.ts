/** Comparison of running digests among entries, to find the first offset at which two differ. */

/** The digest after the record at an offset. */
export interface DigestAt {
  readonly offset: number;
  readonly digest: string;
}

/** Digests that are kept for comparison. */
export const DIGESTS_KEPT = 1024;

/**
 * Finds the first offset at which two lists differ; undefined when they agree wherever they overlap.
 * When they differ from the start of the overlap on, the first difference may lie before it.
 */
export function findFirstDifference(
  own: readonly DigestAt[],
  other: readonly DigestAt[],
): number | undefined {
  const known = new Map(other.map(({ offset, digest }) => [offset, digest]));
  return own.find(({ offset, digest }) => (known.get(offset) ?? digest) !== digest)?.offset;
}
