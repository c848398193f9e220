/**
 * Tombstones of jobs that were cancelled before they were submitted. A submission may arrive after the
 * cancel of its job, from an instance that was paused or over a link that was slow; by the tombstone
 * the planner, and each next one, knows that the job must not start. A cancel is confirmed only once
 * its tombstone is stored.
 */

/** Who cancelled a job, and on which queue. */
export interface CancelSource {
  /** Name of the team that cancelled it; undefined if its route needed no key. */
  readonly team?: string | undefined;
  /** Name of the queue; undefined if that is not known. */
  readonly queue?: string | undefined;
}

/** A job that was cancelled before it was submitted. */
export interface CancelTombstone extends CancelSource {
  readonly jobId: string;
  /** When it was cancelled, in milliseconds since 1970. */
  readonly cancelledAtMs: number;
}

/** Tombstones of one pool. */
export interface CancelTombstones {
  /**
   * Adds a tombstone at the monotonic time `nowMs`, or has one that is no longer new kept and stored
   * anew, as the repeated cancel is confirmed as the first was. `refused`: there are too many, or
   * another team has cancelled the same id, so that nothing is recorded.
   */
  readonly add: (tombstone: CancelTombstone, nowMs: number) => 'recorded' | 'refused';
  /** Adds a tombstone that an earlier planner has stored. */
  readonly load: (tombstone: CancelTombstone, nowMs: number) => void;
  /** Says whether a submission of the job by a team must be refused. */
  readonly blocks: (jobId: string, team: string | undefined) => boolean;
  /** Drops the tombstone of a job; returns whether there was one. */
  readonly drop: (jobId: string) => boolean;
  /** Says whether the tombstone of a job is stored; false if there is none. */
  readonly isStored: (jobId: string) => boolean;
  /** Lists the tombstones that are not stored yet. */
  readonly listUnstored: () => readonly CancelTombstone[];
  /** Records that tombstones are stored. */
  readonly markStored: (jobIds: readonly string[]) => void;
  /** Lists the queues on which jobs were cancelled; undefined stands for one that is not known. */
  readonly listQueues: () => ReadonlySet<string | undefined>;
  /** Drops the tombstones that are older than `keptMs` and stored; returns the ids of their jobs. */
  readonly dropExpired: (nowMs: number, keptMs: number) => readonly string[];
}

/**
 * Number of tombstones that a pool keeps. A further cancel of an unknown job is refused rather than
 * an earlier one forgotten, as that one was confirmed.
 */
export const MAX_TOMBSTONES = 4_000;

/** Age up to which a tombstone is kept as it is when its cancel is repeated, in milliseconds. */
const RENEWAL_AGE_MS = 30_000;

interface Entry {
  readonly tombstone: CancelTombstone;
  readonly isStored: boolean;
  /** Since when it is kept, monotonic, in milliseconds. */
  readonly sinceMs: number;
}

/** Says whether two teams may be the same; undefined stands for any. */
function isSameTeam(team: string | undefined, other: string | undefined): boolean {
  return team === undefined || other === undefined || team === other;
}

/**
 * Says whether a repeated cancel has to be recorded anew. Of a loaded one only the wall time is known.
 */
function isRenewalDue(known: Entry, { cancelledAtMs }: CancelTombstone, nowMs: number): boolean {
  const ageMs = Math.max(nowMs - known.sinceMs, cancelledAtMs - known.tombstone.cancelledAtMs);
  return ageMs > RENEWAL_AGE_MS;
}

/** Creates the tombstones of a pool that has none. */
export function createCancelTombstones(): CancelTombstones {
  const entries = new Map<string, Entry>();
  const unstoredIds = new Set<string>();
  return {
    add: (tombstone, nowMs) => {
      const { jobId, team, cancelledAtMs } = tombstone;
      const known = entries.get(jobId);
      if (known !== undefined) {
        if (!isSameTeam(known.tombstone.team, team)) return 'refused';
        if (!isRenewalDue(known, tombstone, nowMs)) return 'recorded';
      } else if (entries.size >= MAX_TOMBSTONES) return 'refused';
      const recorded = { ...tombstone, ...known?.tombstone, cancelledAtMs };
      entries.set(jobId, { tombstone: recorded, isStored: false, sinceMs: nowMs });
      unstoredIds.add(jobId);
      return 'recorded';
    },
    load: (tombstone, nowMs) => {
      entries.set(tombstone.jobId, { tombstone, isStored: true, sinceMs: nowMs });
    },
    blocks: (jobId, team) => {
      const entry = entries.get(jobId);
      return entry !== undefined && isSameTeam(entry.tombstone.team, team);
    },
    drop: (jobId) => {
      unstoredIds.delete(jobId);
      return entries.delete(jobId);
    },
    isStored: (jobId) => entries.get(jobId)?.isStored === true,
    listUnstored: () =>
      [...unstoredIds].flatMap((id) => {
        const entry = entries.get(id);
        return entry === undefined ? [] : [entry.tombstone];
      }),
    markStored: (jobIds) =>
      jobIds.forEach((id) => {
        const entry = entries.get(id);
        if (entry !== undefined) entries.set(id, { ...entry, isStored: true });
        unstoredIds.delete(id);
      }),
    listQueues: () => new Set([...entries.values()].map(({ tombstone }) => tombstone.queue)),
    dropExpired: (nowMs, keptMs) => {
      const expired = [...entries]
        .filter(([, { isStored, sinceMs }]) => isStored && nowMs - sinceMs > keptMs)
        .map(([id]) => id);
      expired.forEach((id) => entries.delete(id));
      return expired;
    },
  };
}
