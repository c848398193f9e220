/**
 * Plans moves of instances between pools. Loans of capacity serve the peaks of seconds; a move is for
 * what loans cannot mend: they cost some efficiency, so an instance is worth more in the pool that
 * borrows the larger share of the time. A move must pay for itself within a horizon by the weights of
 * the configuration, must do so for some time on end, and leaves a pause after it. The spare pool
 * gives last, and takes back what lies idle elsewhere when that pays.
 */
import type { Values } from '../config/schema.js';
import { isReleaseAllowed, type CapacityState } from '../maintenance/capacity.js';
import type { PolicyOf } from '../maintenance/policy.js';
import type { Instance } from '../topology.js';
import type { DemandState } from './demand.js';
import { countMembers } from './fold.js';

/** Weights of kept work and idle capacity, each by the instance-hour, and of one move. */
export type MoveWeights = Pick<Values, 'keptWorkWeight' | 'bufferWeight' | 'moveWeight'>;

/** Settings of the planner of moves. */
export interface MoveSettings {
  /** Share of lent capacity that is lost to working in another pool. */
  readonly loanLossShare: number;
  /** Hours within which a move must pay for itself. */
  readonly horizonHours: number;
  /** Time for which the same move must have paid before it is made. */
  readonly settleMs: number;
  /** Pause after a move before the next. */
  readonly pauseMs: number;
  /** Least number of instances that a pool is left with. */
  readonly leastSize: number;
}

/** Settings that suit demand which peaks for seconds and shifts over hours. */
export const MOVE_SETTINGS: MoveSettings = {
  loanLossShare: 0.1,
  horizonHours: 4,
  settleMs: 10 * 60_000,
  pauseMs: 10 * 60_000,
  leastSize: 2,
};

/** What the planner remembers from call to call; when lost, it only waits anew. */
export interface MoveMemory {
  /** The best pair of pools, and since when, by the planner's monotonic clock. */
  readonly pair:
    { readonly from: string; readonly to: string; readonly sinceMs: number } | undefined;
  readonly movedAtMs: number | undefined;
}

/** What the planner decides from. */
export interface MoveInput {
  readonly fleet: CapacityState;
  readonly instances: ReadonlyMap<string, Instance>;
  readonly demand: DemandState;
  readonly weights: MoveWeights;
  readonly policyOf: PolicyOf;
  readonly spare: string | undefined;
  /** Monotonic time, and the date in milliseconds since 1970. */
  readonly nowMs: number;
  readonly atMs: number;
  readonly settings: MoveSettings;
}

/** A pair of pools and what one move between them is worth. */
export interface MoveOption {
  readonly from: string;
  readonly to: string;
  /** Weighted gain within the horizon, less the weight of the move. */
  readonly score: number;
}

/** Why nothing is moved. */
export type StayReason = 'no-payback' | 'move-in-progress' | 'pausing' | 'settling' | 'none-free';

/** One decision of the planner of moves; each is one line of the decision log. */
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
      /** The best option, which is not taken. */
      readonly refused: MoveOption | undefined;
    };

/** Creates the memory of a planner that has just taken over. */
export function createMoveMemory(): MoveMemory {
  return { pair: undefined, movedAtMs: undefined };
}

/** Computes what one move between two pools is worth. */
function computeScore(input: MoveInput, from: string, to: string): number {
  const { weights, settings, spare } = input;
  const donor = input.demand.trends.get(from);
  const taker = input.demand.trends.get(to);
  if (donor === undefined || taker === undefined) return -Infinity;
  const shortDonor = from === spare ? 0 : donor.shortShare;
  const shortTaker = to === spare ? 0 : taker.shortShare;
  const kept = (shortTaker - shortDonor) * settings.loanLossShare;
  const freed = to === spare ? Math.min(1, donor.idle) : 0;
  const taken = from === spare ? Math.min(1, taker.idle) : 0;
  const gain = weights.keptWorkWeight * kept + weights.bufferWeight * (freed - taken);
  return gain * settings.horizonHours - weights.moveWeight;
}

/** Lists the options, the best first; the spare pool gives only when no other pool's would pay. */
function listOptions(input: MoveInput): readonly MoveOption[] {
  const pools = [...input.demand.trends.keys()].sort();
  const isDonor = (pool: string) =>
    countMembers(input.fleet.pools, pool) > input.settings.leastSize;
  const options = pools
    .filter(isDonor)
    .flatMap((from) =>
      pools
        .filter((to) => to !== from)
        .map((to) => ({ from, to, score: computeScore(input, from, to) })),
    );
  const isLast = ({ from, score }: MoveOption) => (from === input.spare || score <= 0 ? 1 : 0);
  return options.sort((a, b) => isLast(a) - isLast(b) || b.score - a.score);
}

/** Counts the instances of a pool in a data centre. */
function countInDataCentre(input: MoveInput, pool: string, dataCentre: string): number {
  const ids = input.fleet.pools.members.get(pool);
  return ids?.count((id) => input.instances.get(id)?.location.dataCentre === dataCentre) ?? 0;
}

/** Picks the instance whose move leaves both pools spread best over data centres. */
function pickInstance(input: MoveInput, { from, to }: MoveOption): string | undefined {
  const members = [...(input.fleet.pools.members.get(from) ?? [])].sort();
  const free = members.filter((instanceId) =>
    isReleaseAllowed(input.fleet, { instanceId, from, at: input.atMs }, input.policyOf),
  );
  const computeCrowding = (id: string): number => {
    const dataCentre = input.instances.get(id)?.location.dataCentre;
    if (dataCentre === undefined) return Number.MIN_SAFE_INTEGER;
    const there = countInDataCentre(input, to, dataCentre);
    return countInDataCentre(input, from, dataCentre) - there;
  };
  return free
    .map((id) => ({ id, crowding: computeCrowding(id) }))
    .sort((a, b) => b.crowding - a.crowding)[0]?.id;
}

/** Says whether an instance is between pools. */
function isMoveInProgress(fleet: CapacityState): boolean {
  return fleet.pools.between.some((id) => fleet.pools.memberships.get(id)?.kind === 'released');
}

/** Plans at most one move. */
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
