/** Claims on the two duties: a planner takes one that lies idle, and now and then one that does not. */
import { MOVES_DUTY, type Random } from 'vanilladock';
import type { CapacityState } from 'vanilladock/lib/maintenance/capacity.js';
import type { Body } from './log-client.js';
import type { FakeLog } from './platform.js';
import { MINUTE_MS } from './world.js';

const LEASE_MS = 2 * MINUTE_MS;
const RIVAL_CLAIM_SHARE = 0.0003;

/** One planner's claims. */
export interface Duties {
  /** Gets the fence of a duty by what was read; undefined while another holds it. */
  readonly getFence: (duty: string, state: CapacityState) => number | undefined;
  /** Lists the claim that is due, if any. */
  readonly listClaims: (duty: string, state: CapacityState, nowMs: number) => readonly Body[];
}

/** Gets the newest claim on a duty that a state knows of. */
function getClaim(duty: string, state: CapacityState): number {
  const { fences } = duty === MOVES_DUTY ? state.pools : state.maintenance;
  return fences.get(duty) ?? -1;
}

/** Creates the claims of a planner. */
export function createDuties(name: string, log: FakeLog, random: Random): Duties {
  const seen = new Map<string, { readonly claim: number; readonly sinceMs: number }>();
  const getFence = (duty: string, state: CapacityState): number | undefined => {
    const claim = getClaim(duty, state);
    return log.getRecord(claim)?.by === name ? claim : undefined;
  };
  const listClaims = (duty: string, state: CapacityState, nowMs: number): readonly Body[] => {
    const claim = getClaim(duty, state);
    if (seen.get(duty)?.claim !== claim) seen.set(duty, { claim, sinceMs: nowMs });
    const ageMs = nowMs - (seen.get(duty)?.sinceMs ?? nowMs);
    const isMine = getFence(duty, state) !== undefined;
    const isDue = claim === -1 || ageMs >= (isMine ? LEASE_MS / 2 : LEASE_MS);
    if (!isDue && random() >= RIVAL_CLAIM_SHARE) return [];
    return [{ kind: 'duty.claim', duty, follows: claim, leaseMs: LEASE_MS }];
  };
  return { getFence, listClaims };
}
