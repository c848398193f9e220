/** Tracks for how long duties have been unclaimed, and which claims this instance has given up. */
import type { Claim, ClaimTable } from 'vanilladock/lib/duties/claim-table.js';

/** Sources of the unclaimed duties. */
export interface UnclaimedDutyOptions {
  readonly listDuties: () => readonly string[];
  readonly table: ClaimTable;
}

/** Duties without a holder that goes on with them, as one instance observes them. */
export interface UnclaimedDuties {
  /** Lists the duties unclaimed at `nowMs` (monotonic); resets the age of all others. */
  readonly list: (nowMs: number) => readonly string[];
  /**
   * Returns for how long `list` has found a duty unclaimed, in milliseconds; 0 if it has not, and
   * Infinity for a duty that only this instance can claim, as its own claim counts as live elsewhere.
   */
  readonly getAgeMs: (duty: string, nowMs: number) => number;
  /** Resets all ages, after a time without reports of the holders. */
  readonly reset: () => void;
  /** Records that this instance gives up a claim. */
  readonly observeDrop: (claim: Claim) => void;
  /** Records that another instance has made this claim, so that no older one is taken any more. */
  readonly observeNewer: (claim: Claim) => void;
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
  /** Says whether this instance gave up the live claim of a duty, which no other will claim then. */
  const isGivenUp = (duty: string, nowMs: number) => {
    const live = table.findLiveClaim(duty, nowMs);
    return live !== undefined && live.token === droppedTokens.get(duty);
  };
  const isUnclaimed = (duty: string, nowMs: number) =>
    table.findStayingClaim(duty, nowMs) === undefined || isGivenUp(duty, nowMs);
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
    getAgeMs: (duty, nowMs) =>
      isGivenUp(duty, nowMs) ? Infinity : nowMs - (unclaimedSinceMs.get(duty) ?? nowMs),
    reset: () => unclaimedSinceMs.clear(),
    observeDrop: ({ duty, token }) => {
      droppedTokens.set(duty, token);
    },
    observeNewer: ({ duty, token }) => {
      droppedTokens.set(duty, Math.max(token - 1, droppedTokens.get(duty) ?? -1));
    },
    wasDropped: ({ duty, token }) => token <= (droppedTokens.get(duty) ?? -1),
  };
}
