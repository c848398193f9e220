/**
 * Claims on the two duties: a planner claims unclaimed ones, and occasionally one that another
 * holds.
 */
import { MOVES_DUTY, type Random } from 'vanilladock';
import type { CapacityState } from 'vanilladock/lib/maintenance/capacity.js';
import type { Body } from './log-client.js';
import type { FakeLog } from './platform.js';
import { MINUTE_MS } from './environment.js';

const LEASE_MS = 2 * MINUTE_MS;
const RIVAL_CLAIM_PROBABILITY = 0.0003;

/** The claims of one planner. */
export interface Duties {
  /** Gets the fence of a duty by the state read so far; undefined unless this planner holds it. */
  readonly getFence: (duty: string, state: CapacityState) => number | undefined;
  /** Lists the claim to append now, if any: a renewal, a claim after a lapse or a rival claim. */
  readonly listClaims: (duty: string, state: CapacityState, nowMs: number) => readonly Body[];
}

/** Gets the offset of the newest claim on a duty in a state; -1 without one. */
function getClaim(duty: string, state: CapacityState): number {
  const { fences } = duty === MOVES_DUTY ? state.pools : state.maintenance;
  return fences.get(duty) ?? -1;
}

/** Creates the claims of the planner `name`. */
export function createDuties(name: string, log: FakeLog, random: Random): Duties {
  const observedClaims = new Map<string, { readonly claim: number; readonly sinceMs: number }>();
  const getFence = (duty: string, state: CapacityState): number | undefined => {
    const claim = getClaim(duty, state);
    return log.getRecord(claim)?.by === name ? claim : undefined;
  };
  const listClaims = (duty: string, state: CapacityState, nowMs: number): readonly Body[] => {
    const claim = getClaim(duty, state);
    if (observedClaims.get(duty)?.claim !== claim)
      observedClaims.set(duty, { claim, sinceMs: nowMs });
    const ageMs = nowMs - (observedClaims.get(duty)?.sinceMs ?? nowMs);
    const isHolder = getFence(duty, state) !== undefined;
    const isDue = claim === -1 || ageMs >= (isHolder ? LEASE_MS / 2 : LEASE_MS);
    if (!isDue && random() >= RIVAL_CLAIM_PROBABILITY) return [];
    return [{ kind: 'duty.claim', duty, follows: claim, leaseMs: LEASE_MS }];
  };
  return { getFence, listClaims };
}
