/**
 * Plans moves of instances between pools. Loans of capacity cover peaks of seconds, but they cost
 * some efficiency, so an instance is worth more in the pool that borrows for the larger share of
 * the time. A move must pay for itself within a horizon by the weights of the configuration, must
 * do so continuously for some time, and is followed by a pause. The spare pool donates last, and
 * reclaims idle instances from other pools when that pays.
 */
import type { Values } from '../config/schema.js';
import { isReleaseAllowed, type CapacityState } from '../maintenance/capacity.js';
import type { PolicyOf } from '../maintenance/policy.js';
import type { Instance } from '../topology.js';
import type { DemandState } from './demand.js';
import { countMembers } from './fold.js';

/**
 * Weights of work that is not lost by running in another pool and of idle capacity, each by the
 * instance-hour, and of one move.
 */
export type MoveWeights = Pick<Values, 'keptWorkWeight' | 'bufferWeight' | 'moveWeight'>;

/** Settings of the move planner. */
export interface MoveSettings {
  /** Share of lent capacity, from 0 to 1, that is lost because work runs in another pool. */
  readonly loanLossShare: number;
  /** Hours within which a move must pay for itself. */
  readonly horizonHours: number;
  /** Time for which the same move must have been the best before it is made. */
  readonly settleMs: number;
  /** Time after a move during which the planner makes no other, between whatever pools. */
  readonly pauseMs: number;
  /** Smallest number of instances that a donor pool keeps. */
  readonly minSize: number;
}

/** Settings that suit demand which peaks for seconds and shifts over hours. */
export const MOVE_SETTINGS: MoveSettings = {
  loanLossShare: 0.1,
  horizonHours: 4,
  settleMs: 10 * 60_000,
  pauseMs: 10 * 60_000,
  minSize: 2,
};

/** State that the planner keeps between calls; losing it only restarts the waiting times. */
export interface MoveMemory {
  /** The best pair of pools and the time, on the monotonic clock, since which it is the best. */
  readonly pair:
    { readonly from: string; readonly to: string; readonly sinceMs: number } | undefined;
  /** Monotonic time of the last move; undefined before the first. */
  readonly movedAtMs: number | undefined;
}

/** Input of the move planner. */
export interface MoveInput {
  readonly fleet: CapacityState;
  readonly instances: ReadonlyMap<string, Instance>;
  readonly demand: DemandState;
  readonly weights: MoveWeights;
  readonly policyOf: PolicyOf;
  /** Name of the spare pool; undefined when there is none. */
  readonly spare: string | undefined;
  /** Monotonic time, and wall-clock time in milliseconds since 1970. */
  readonly nowMs: number;
  readonly atMs: number;
  readonly settings: MoveSettings;
}

/** A pair of pools and the value of one move between them. */
export interface MoveOption {
  readonly from: string;
  readonly to: string;
  /** Weighted gain within the horizon, minus the weight of the move. */
  readonly score: number;
}

/**
 * Reason for which no instance is moved. `no-payback`: no move pays. `settling`: the best one has
 * not been the best for long enough. `none-free`: no instance of the donor may be released.
 */
export type StayReason = 'no-payback' | 'move-in-progress' | 'pausing' | 'settling' | 'none-free';

/** One decision of the move planner; each is one line of the decision log. */
export type MoveDecision =
  | {
      readonly kind: 'move';
      readonly instanceId: string;
      readonly from: string;
      readonly to: string;
      readonly score: number;
      /** The next best option. */
      readonly refused: MoveOption | undefined;
    }
  | {
      readonly kind: 'stay';
      readonly reason: StayReason;
      /** The best option, which was not taken. */
      readonly refused: MoveOption | undefined;
    };

/** Creates the memory of a planner that has just taken over. */
export function createMoveMemory(): MoveMemory {
  return { pair: undefined, movedAtMs: undefined };
}

/** Computes the score of one move; -Infinity for a pool without demand averages. */
function computeScore(input: MoveInput, from: string, to: string): number {
  const { weights, settings, spare } = input;
  const donor = input.demand.trends.get(from);
  const recipient = input.demand.trends.get(to);
  if (donor === undefined || recipient === undefined) return -Infinity;
  const donorShortShare = from === spare ? 0 : donor.shortShare;
  const recipientShortShare = to === spare ? 0 : recipient.shortShare;
  const keptWorkGain = (recipientShortShare - donorShortShare) * settings.loanLossShare;
  const idleGain = to === spare ? Math.min(1, donor.idle) : 0;
  const idleLoss = from === spare ? Math.min(1, recipient.idle) : 0;
  const gain = weights.keptWorkWeight * keptWorkGain + weights.bufferWeight * (idleGain - idleLoss);
  return gain * settings.horizonHours - weights.moveWeight;
}

/** Lists the options, best first; the spare pool's come after all other options that pay. */
function listOptions(input: MoveInput): readonly MoveOption[] {
  const pools = [...input.demand.trends.keys()].sort();
  const isDonor = (pool: string) => countMembers(input.fleet.pools, pool) > input.settings.minSize;
  const options = pools
    .filter(isDonor)
    .flatMap((from) =>
      pools
        .filter((to) => to !== from)
        .map((to) => ({ from, to, score: computeScore(input, from, to) })),
    );
  const computeRank = ({ from, score }: MoveOption) => (from === input.spare || score <= 0 ? 1 : 0);
  return options.sort((a, b) => computeRank(a) - computeRank(b) || b.score - a.score);
}

/** Counts the instances of a pool in a data centre. */
function countInDataCentre(input: MoveInput, pool: string, dataCentre: string): number {
  const ids = input.fleet.pools.members.get(pool);
  return ids?.count((id) => input.instances.get(id)?.location.dataCentre === dataCentre) ?? 0;
}

/** Picks the instance whose move spreads both pools best over data centres. */
function pickInstance(input: MoveInput, { from, to }: MoveOption): string | undefined {
  const members = [...(input.fleet.pools.members.get(from) ?? [])].sort();
  const releasable = members.filter((instanceId) =>
    isReleaseAllowed(input.fleet, { instanceId, from, at: input.atMs }, input.policyOf),
  );
  const computeCrowding = (id: string): number => {
    const dataCentre = input.instances.get(id)?.location.dataCentre;
    if (dataCentre === undefined) return Number.MIN_SAFE_INTEGER;
    const countInRecipient = countInDataCentre(input, to, dataCentre);
    return countInDataCentre(input, from, dataCentre) - countInRecipient;
  };
  return releasable
    .map((id) => ({ id, crowding: computeCrowding(id) }))
    .sort((a, b) => b.crowding - a.crowding)[0]?.id;
}

/** Says whether an instance is between pools. */
function isMoveInProgress(fleet: CapacityState): boolean {
  return fleet.pools.between.some((id) => fleet.pools.memberships.get(id)?.kind === 'released');
}

/**
 * Plans at most one move; returns the decision and the memory for the next call, which assumes that
 * a decided move is made.
 */
export function planMoves(
  input: MoveInput,
  memory: MoveMemory,
): { readonly decision: MoveDecision; readonly memory: MoveMemory } {
  const { nowMs, settings } = input;
  const [best, next] = listOptions(input);
  const makeStay = (reason: StayReason, pair: MoveMemory['pair']) => ({
    decision: { kind: 'stay', reason, refused: best } as const,
    memory: { ...memory, pair },
  });
  if (best === undefined || best.score <= 0) return makeStay('no-payback', undefined);
  const { from, to, score } = best;
  const isSamePair = memory.pair?.from === from && memory.pair.to === to;
  const pair = isSamePair ? memory.pair : { from, to, sinceMs: nowMs };
  if (isMoveInProgress(input.fleet)) return makeStay('move-in-progress', pair);
  const isPausing = memory.movedAtMs !== undefined && nowMs - memory.movedAtMs < settings.pauseMs;
  if (isPausing) return makeStay('pausing', pair);
  if (pair === undefined || nowMs - pair.sinceMs < settings.settleMs) {
    return makeStay('settling', pair);
  }
  const instanceId = pickInstance(input, best);
  if (instanceId === undefined) return makeStay('none-free', pair);
  return {
    decision: { kind: 'move', instanceId, from, to, score, refused: next },
    memory: { pair: undefined, movedAtMs: nowMs },
  };
}
