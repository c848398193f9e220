/** Tracks for how long duties have been unclaimed, and which claims this instance has given up. */
import type { Claim, ClaimTable } from 'vanilladock/lib/duties/claim-table.js';

/** Sources of the unclaimed duties. */
export interface UnclaimedDutyOptions {
  readonly listDuties: () => readonly string[];
  readonly table: ClaimTable;
}

/** Duties without a holder, as one instance observes them. */
export interface UnclaimedDuties {
  /** Lists the duties unclaimed at `nowMs` (monotonic); resets the age of all others. */
  readonly list: (nowMs: number) => readonly string[];
  /** Returns for how long `list` has found a duty unclaimed, in milliseconds; 0 if it has not. */
  readonly getAgeMs: (duty: string, nowMs: number) => number;
  /** Resets all ages, after a time without reports of the holders. */
  readonly reset: () => void;
  /** Records that this instance gives up a claim. */
  readonly observeDrop: (claim: Claim) => void;
  /** Says whether this instance gave up this claim or a newer one. */
  readonly wasDropped: (claim: Claim) => boolean;
}

/** Creates the tracker of one instance. */
export function createUnclaimedDuties({
  listDuties,
  table,
}: UnclaimedDutyOptions): UnclaimedDuties {
  const unclaimedSinceMs = new Map<string, number>();
  const droppedTokens = new Map<string, number>();
  const isUnclaimed = (duty: string, nowMs: number) => {
    const live = table.findLiveClaim(duty, nowMs);
    // A claim that this instance gave up counts as unclaimed here at once: no other instance claims
    // the duty while it still regards the claim as live.
    return live === undefined || live.token === droppedTokens.get(duty);
  };
  return {
    list: (nowMs) => {
      const unclaimed = new Set(listDuties().filter((duty) => isUnclaimed(duty, nowMs)));
      [...unclaimedSinceMs.keys()]
        .filter((duty) => !unclaimed.has(duty))
        .forEach((duty) => unclaimedSinceMs.delete(duty));
      unclaimed.forEach((duty) => {
        if (!unclaimedSinceMs.has(duty)) unclaimedSinceMs.set(duty, nowMs);
      });
      return [...unclaimed];
    },
    getAgeMs: (duty, nowMs) => nowMs - (unclaimedSinceMs.get(duty) ?? nowMs),
    reset: () => unclaimedSinceMs.clear(),
    observeDrop: ({ duty, token }) => {
      droppedTokens.set(duty, token);
    },
    wasDropped: ({ duty, token }) => token <= (droppedTokens.get(duty) ?? -1),
  };
}
