/**
 * Admission to one service: decides at each arrival whether a request runs, waits or is refused, and
 * who is next when a place comes free. Reads no clock; every decision takes the time as `nowMs`.
 *
 * A request waits only while its fair share of the service rate is expected to reach it within half
 * of the time to its deadline. Whoever holds most of the queue for its weight makes room first.
 */
import { Heap } from 'mnemonist';
import type { Random } from '../ports/random.js';
import { computeOccupancy, createFairQueue } from './fair-queue.js';
import { estimateTurnMs, getLeaf, makeShareTree, type Leaf } from './leaf.js';
import {
  makeRefusal,
  type AdmissionRequest,
  type Arrival,
  type Effect,
  type RefusalCode,
  type Ticket,
} from './request.js';
import { createReturnSlots } from './return-slots.js';
import { createServiceRate } from './service-rate.js';

/** Counts of one service at this entry. */
export interface GateCounts {
  readonly places: number;
  readonly running: number;
  readonly waiting: number;
  /** Callers that were told to come back and are not due yet. */
  readonly promised: number;
}

/** Admission to one service. */
export interface ServiceGate {
  readonly arrive: (request: AdmissionRequest, nowMs: number) => Arrival;
  /** Gives a running request's place to whoever is next. */
  readonly release: (ticket: Ticket, nowMs: number) => readonly Effect[];
  /** Gives a waiting request's place up. */
  readonly leave: (ticket: Ticket, nowMs: number) => readonly Effect[];
  /** Refuses the waiting requests whose deadline has passed. */
  readonly expire: (nowMs: number) => readonly Effect[];
  /** Earliest deadline of a waiting request. */
  readonly getNextDeadlineMs: () => number | undefined;
  readonly setPlaces: (places: number, nowMs: number) => readonly Effect[];
  /** Makes the ticket of a request that was refused before it reached the gate. */
  readonly makeEndedTicket: (request: AdmissionRequest) => Ticket;
  /** True while callers are being refused or told to come back. */
  readonly isShedding: (nowMs: number) => boolean;
  readonly getCounts: (nowMs: number) => GateCounts;
}

/** A request waits only if its turn is expected within this share of the time to its deadline. */
const WAIT_SHARE = 0.5;
/** Callers return before their turn by this share of the time that they can wait. */
const LEAD_SHARE = 0.4;
const MIN_LEAD_MS = 1_000;
/** A waiting request is refused once its turn is expected after this share of the time left. */
const HOPELESS_SHARE = 0.9;
/** A request that waited starts only with this many service times left to its deadline. */
const CUT_MARGIN = 1.5;
const SHEDDING_MS = 1_000;
const COMPACT_MIN = 1_024;

/** Creates the gate of one service. */
export function createServiceGate(random: Random): ServiceGate {
  const tree = makeShareTree();
  const queue = createFairQueue<Ticket>(tree);
  const returns = createReturnSlots(tree, random);
  const rate = createServiceRate();
  const deadlines = new Heap<Ticket>((a, b) => a.request.deadlineAtMs - b.request.deadlineAtMs);
  let places = 0;
  let running = 0;
  let refusedAtMs = -Infinity;

  const makeTicket = (request: AdmissionRequest): Ticket => {
    const { urgency, team, values } = request;
    const leaf = getLeaf(tree, urgency, team, values.weight);
    return { request, leaf, state: 'waiting', startedAtMs: 0 };
  };
  const refuse = (ticket: Ticket, code: RefusalCode, nowMs: number): Effect => {
    ticket.state = 'ended';
    if (code !== 'caller-left') refusedAtMs = nowMs;
    const leadMs = Math.max(MIN_LEAD_MS, (ticket.request.deadlineAtMs - nowMs) * LEAD_SHARE);
    const retryAfterMs =
      code === 'caller-left'
        ? 0
        : returns.takeSlot(ticket.leaf, rate.computeRate(places), leadMs, nowMs);
    return { kind: 'refuse', ticket, failure: makeRefusal(code, retryAfterMs) };
  };
  const start = (ticket: Ticket, nowMs: number): Effect => {
    ticket.state = 'running';
    ticket.startedAtMs = nowMs;
    running += 1;
    return { kind: 'start', ticket };
  };
  const estimateWaitMs = (leaf: Leaf, ahead: number) =>
    estimateTurnMs(tree, leaf, ahead, 'waiting', rate.computeRate(places));
  const isTooLate = ({ request, leaf }: Ticket, ahead: number, share: number, nowMs: number) =>
    estimateWaitMs(leaf, ahead) > (request.deadlineAtMs - nowMs) * share;
  /** Says whether a request that waited would be cut by its deadline while it runs. */
  const isCut = ({ request }: Ticket, nowMs: number) =>
    request.deadlineAtMs - nowMs < rate.estimateMs(request.urgency) * CUT_MARGIN;
  const startNext = (nowMs: number): Effect[] => {
    const effects: Effect[] = [];
    while (running < places) {
      const ticket = queue.takeNext(({ urgencyClass }) => rate.estimateMs(urgencyClass.urgency));
      if (ticket === undefined) break;
      effects.push(
        isCut(ticket, nowMs) ? refuse(ticket, 'deadline-passed', nowMs) : start(ticket, nowMs),
      );
    }
    return effects;
  };
  /** Refuses the newest of those that hold most of the queue while they cannot be reached in time. */
  const refuseHopeless = (nowMs: number): Effect[] => {
    const effects: Effect[] = [];
    for (
      let last = queue.findMostOverShare();
      last !== undefined;
      last = queue.findMostOverShare()
    ) {
      if (!isTooLate(last, last.leaf.waiting - 1, HOPELESS_SHARE, nowMs)) break;
      queue.remove(last);
      effects.push(refuse(last, 'queue-full', nowMs));
    }
    return effects;
  };
  const isMoreEntitled = (arrival: Leaf, victim: Leaf) => {
    const [own, other] = [arrival.urgencyClass, victim.urgencyClass];
    return own === other
      ? computeOccupancy(victim) > (arrival.waiting + 1) / arrival.weight
      : computeOccupancy(other) > (own.waiting + 1) / own.weight;
  };
  const dropStaleDeadlines = () => {
    if (deadlines.size <= COMPACT_MIN + 2 * tree.waiting) return;
    deadlines.clear();
    queue.listItems().forEach((ticket) => deadlines.push(ticket));
  };
  const addWaiter = (ticket: Ticket, nowMs: number): Effect[] => {
    queue.add(ticket);
    deadlines.push(ticket);
    dropStaleDeadlines();
    return refuseHopeless(nowMs);
  };
  const dropEnded = () => {
    while (deadlines.peek() !== undefined && deadlines.peek()?.state !== 'waiting') deadlines.pop();
  };
  const admitToQueue = (ticket: Ticket, nowMs: number): Effect[] => {
    const { leaf, request } = ticket;
    if (isTooLate(ticket, leaf.waiting, WAIT_SHARE, nowMs)) {
      return [refuse(ticket, 'queue-full', nowMs)];
    }
    if (tree.waiting < request.values.queueLength) return addWaiter(ticket, nowMs);
    const victim = queue.findMostOverShare();
    if (victim === undefined || !isMoreEntitled(leaf, victim.leaf)) {
      return [refuse(ticket, 'queue-full', nowMs)];
    }
    queue.remove(victim);
    return [refuse(victim, 'queue-full', nowMs), ...addWaiter(ticket, nowMs)];
  };

  const admitTicket = (ticket: Ticket, nowMs: number): readonly Effect[] => {
    if (ticket.request.deadlineAtMs <= nowMs) return [refuse(ticket, 'deadline-passed', nowMs)];
    if (running < places && tree.waiting === 0) return [start(ticket, nowMs)];
    return admitToQueue(ticket, nowMs);
  };

  return {
    arrive: (request, nowMs) => {
      returns.update(nowMs);
      const ticket = makeTicket(request);
      return { ticket, effects: admitTicket(ticket, nowMs) };
    },
    release: (ticket, nowMs) => {
      if (ticket.state !== 'running') return [];
      ticket.state = 'ended';
      running -= 1;
      const { urgency } = ticket.request;
      const heldMs = nowMs - ticket.startedAtMs;
      ticket.leaf.debtMs += heldMs - rate.estimateMs(urgency);
      rate.observe(urgency, heldMs);
      return startNext(nowMs);
    },
    leave: (ticket, nowMs) => {
      if (ticket.state !== 'waiting' || !queue.remove(ticket)) return [];
      return [refuse(ticket, 'caller-left', nowMs)];
    },
    expire: (nowMs) => {
      const effects: Effect[] = [];
      for (;;) {
        dropEnded();
        const ticket = deadlines.peek();
        if (ticket === undefined || ticket.request.deadlineAtMs > nowMs) return effects;
        queue.remove(ticket);
        effects.push(refuse(ticket, 'deadline-passed', nowMs));
      }
    },
    getNextDeadlineMs: () => {
      dropEnded();
      return deadlines.peek()?.request.deadlineAtMs;
    },
    setPlaces: (count, nowMs) => {
      places = count;
      return [...startNext(nowMs), ...refuseHopeless(nowMs)];
    },
    makeEndedTicket: (request) => ({ ...makeTicket(request), state: 'ended' }),
    isShedding: (nowMs) => nowMs - refusedAtMs < SHEDDING_MS,
    getCounts: (nowMs) => {
      returns.update(nowMs);
      return { places, running, waiting: tree.waiting, promised: tree.promised };
    },
  };
}
