/**
 * Keeps the gap that the fleet wants between the last order of one holder of the fleet duty and the
 * first of the next. It is one gap for all instances, and it goes on over successive holders: each
 * tells the next one for how long nothing has been ordered, also of holders before it.
 */
import { SUCCESSION_MS } from 'vanilladock/lib/duties/authority.js';
import type { TimedHandOver } from 'vanilladock/lib/jobs/hand-over.js';
import type { Fleet, FleetOutcome } from 'vanilladock/lib/ports/fleet.js';
import type { Predecessor } from './duty-notices.js';

/** Gap before the orders of one holder; times are monotonic, in milliseconds. */
export interface FleetOrderGap {
  /** The fleet, whose orders are recorded. */
  readonly fleet: Fleet;
  /** Takes in what is known of the holder before. */
  readonly observePredecessor: (predecessor: Predecessor) => void;
  /** Finds when earlier holders may last have ordered; undefined if this one was not told. */
  readonly findEarlierOrderMs: () => number | undefined;
  /** Says whether the gap after the orders of earlier holders is over. */
  readonly isOver: (nowMs: number) => boolean;
  /** Makes what this holder tells, which has stopped: it sends no orders any more. */
  readonly makeHandOver: (nowMs: number) => TimedHandOver;
}

/** Dependencies of a gap. */
export interface FleetOrderGapOptions {
  readonly fleet: Fleet;
  /** Fencing token of the holder's claim. */
  readonly token: number;
  /** Length of the gap, in milliseconds. */
  readonly gapMs: number;
  /** Monotonic time in milliseconds at which the claim was held; it was stored before. */
  readonly claimedMs: number;
}

/**
 * Time in milliseconds within which a call in progress ends, with its connection; one that has ended
 * without an answer counts as carried out that much later at most.
 */
const ORDER_MS = 1_500;

/** Creates the gap before the orders of a holder. */
export function createFleetOrderGap(options: FleetOrderGapOptions): FleetOrderGap {
  const { fleet, token, gapMs, claimedMs } = options;
  let predecessor: Predecessor | undefined;
  /** Orders without an outcome yet. */
  let openOrders = 0;
  /** Latest time at which an order of this holder that has its outcome may have been carried out. */
  let lastOrderMs = -Infinity;

  const recordOrder = async (sent: Promise<FleetOutcome>): Promise<FleetOutcome> => {
    openOrders += 1;
    let isAnswered = false;
    try {
      const outcome = await sent;
      isAnswered = outcome.kind !== 'unknown';
      return outcome;
    } finally {
      openOrders -= 1;
      lastOrderMs = Math.max(lastOrderMs, performance.now() + (isAnswered ? 0 : ORDER_MS));
    }
  };
  const findEarlierOrderMs = (): number | undefined => {
    if (predecessor?.told === undefined) return undefined;
    const { handOver, atMs } = predecessor.told;
    // An older holder knows nothing of the orders of the one before this.
    const isByPredecessor = handOver.token === predecessor.token;
    if (handOver.fleetOrderAgoMs === undefined || !isByPredecessor) return undefined;
    return atMs - handOver.fleetOrderAgoMs;
  };
  /** Computes when this holder takes the orders of earlier ones to have ended. */
  const computeEarlierEndMs = () =>
    findEarlierOrderMs() ?? (predecessor?.hasStopped === true ? predecessor.knownMs : claimedMs);
  /** Computes the latest time at which any holder's order may have been carried out. */
  const computeLastOrderMs = (nowMs: number) => {
    if (openOrders > 0) return nowMs + ORDER_MS;
    // Holders of which nothing was told may order for as long as their authority lasts.
    const earlierMs = findEarlierOrderMs() ?? Math.min(nowMs, claimedMs + SUCCESSION_MS);
    return Math.max(lastOrderMs, earlierMs);
  };
  return {
    fleet: {
      listInstances: fleet.listInstances,
      moveInstance: (...order) => recordOrder(fleet.moveInstance(...order)),
      maintainInstance: (...order) => recordOrder(fleet.maintainInstance(...order)),
    },
    observePredecessor: (known) => {
      predecessor = known;
    },
    findEarlierOrderMs,
    isOver: (nowMs) => nowMs - computeEarlierEndMs() >= gapMs,
    makeHandOver: (nowMs) => {
      const fleetOrderAgoMs = nowMs - computeLastOrderMs(nowMs);
      return { handOver: { token, earlierOrdersMs: 0, leases: [], fleetOrderAgoMs }, atMs: nowMs };
    },
  };
}
