/** Partitions of the store in which instances agree on who holds which duty. */

/** Partition of claims: it has no other records, so that a conditional append seldom fails. */
export const CLAIMS = { topic: 'keyed.claims', partition: 0 } as const;

/** Partition of heartbeats and departures. */
export const HEARTBEATS = { topic: 'keyed.claims', partition: 1 } as const;
