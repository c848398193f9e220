/** The duties that one instance holds: taken by its own stored claims, lost to newer ones. */
import { BehaviorSubject } from 'rxjs';
import type { Claim, ClaimTable } from 'vanilladock/lib/duties/claim-table.js';
import type { JsonLog } from '../json-log.js';
import type { UnclaimedDuties } from './unclaimed-duties.js';

/** Sources of the held duties. */
export interface HeldDutyOptions {
  readonly selfId: string;
  readonly listDuties: () => readonly string[];
  readonly table: ClaimTable;
  readonly unclaimedDuties: UnclaimedDuties;
  readonly log: JsonLog;
}

/** Duties held by one instance. */
export interface HeldDuties {
  /** Claims that this instance holds, by duty. */
  readonly held: BehaviorSubject<ReadonlyMap<string, Claim>>;
  /** Gives up a duty; without effect if it is not held. */
  readonly dropDuty: (duty: string, why: string) => void;
  /**
   * Starts to hold a duty, unless the claim on it is held already or was given up, or the duty is
   * not taken any more.
   */
  readonly takeDuty: (claim: Claim) => void;
  /** Starts to hold the claims of this instance that were stored although the response was lost. */
  readonly takeOwnClaims: () => void;
  /** Gives up each duty on which there is a newer claim. */
  readonly checkHeld: () => void;
  /**
   * Gives up the duties of which `isDropped` holds, and takes none of them from now on; returns their
   * claims.
   */
  readonly leave: (isDropped: (duty: string) => boolean) => readonly Claim[];
}

/** Creates an empty set of duties. */
export function createHeldDuties(options: HeldDutyOptions): HeldDuties {
  const { selfId, listDuties, table, unclaimedDuties, log } = options;
  const held = new BehaviorSubject<ReadonlyMap<string, Claim>>(new Map());
  let isRefused = (_: string) => false;
  const setHeld = (duty: string, claim: Claim | undefined) => {
    const updated = new Map(held.value);
    if (claim === undefined) updated.delete(duty);
    else updated.set(duty, claim);
    held.next(updated);
  };
  const dropDuty = (duty: string, why: string) => {
    const claim = held.value.get(duty);
    if (claim === undefined) return;
    log.warn({ event: 'duty-lost', duty, why, token: claim.token });
    unclaimedDuties.observeDrop(claim);
    setHeld(duty, undefined);
  };
  const takeDuty = (claim: Claim) => {
    const isKnown = claim.token <= (held.value.get(claim.duty)?.token ?? -1);
    if (isRefused(claim.duty) || isKnown || unclaimedDuties.wasDropped(claim)) return;
    log.info({ event: 'duty-held', ...claim });
    setHeld(claim.duty, claim);
  };
  return {
    held,
    dropDuty,
    takeDuty,
    takeOwnClaims: () => {
      listDuties().forEach((duty) => {
        const newest = table.findClaim(duty);
        if (newest?.holder === selfId) takeDuty(newest);
      });
    },
    checkHeld: () => {
      held.value.forEach((claim, duty) => {
        const newest = table.findClaim(duty);
        if (newest !== undefined && newest.token > claim.token) dropDuty(duty, 'superseded');
      });
    },
    leave: (isDropped) => {
      isRefused = isDropped;
      const claims = [...held.value.values()];
      held.next(new Map([...held.value].filter(([duty]) => !isDropped(duty))));
      return claims.filter(({ duty }) => isDropped(duty));
    },
  };
}
