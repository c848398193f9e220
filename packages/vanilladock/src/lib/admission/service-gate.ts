/**
 * Admission to one service: decides at each arrival whether a request runs, waits or is refused,
 * and which request starts when a slot becomes free. Reads no clock: every decision takes the time
 * as `nowMs`.
 *
 * A request may wait only if its fair share of the service rate is expected to reach it within half
 * of the time to its deadline. When the queue is full, the team that uses the most of it relative
 * to its weight loses a request first.
 */
import { Heap } from 'mnemonist';
import type { Random } from '../ports/random.js';
import { computeOccupancy, createFairQueue } from './fair-queue.js';
import { estimateTurnMs, getLeaf, makeShareTree, type Leaf } from './share-tree.js';
import {
  makeRefusal,
  type AdmissionRequest,
  type Arrival,
  type Effect,
  type RefusalCode,
  type Ticket,
} from './request.js';
import { createRetrySchedule } from './retry-schedule.js';
import { createServiceRate } from './service-rate.js';

/** Counts of one service at this entry. */
export interface GateCounts {
  /** Number of concurrency slots: requests that may run at once. */
  readonly places: number;
  readonly running: number;
  readonly waiting: number;
  /** Refused callers whose retry time has not come yet. */
  readonly promised: number;
}

/** Admission to one service. Times are on the monotonic clock, in milliseconds. */
export interface ServiceGate {
  /**
   * Decides whether a new request starts, waits or is refused. The effects may also refuse other
   * requests that it displaces; without an effect on its ticket, it waits.
   */
  readonly arrive: (request: AdmissionRequest, nowMs: number) => Arrival;
  /** Releases the slot of a running request and starts the next one; no effect in other states. */
  readonly release: (ticket: Ticket, nowMs: number) => readonly Effect[];
  /** Cancels a waiting request whose caller disconnected; no effect in other states. */
  readonly cancel: (ticket: Ticket, nowMs: number) => readonly Effect[];
  /** Refuses the waiting requests whose deadline has passed. */
  readonly expire: (nowMs: number) => readonly Effect[];
  /** Earliest deadline of a waiting request; undefined when none waits. */
  readonly getNextDeadlineMs: () => number | undefined;
  /**
   * Sets the number of slots, 0 until then; starts waiting requests, and refuses those whose turn
   * is now expected too late for their deadlines.
   */
  readonly setSlots: (slots: number, nowMs: number) => readonly Effect[];
  /** Makes the ticket of a request that was refused before it reached the gate. */
  readonly makeEndedTicket: (request: AdmissionRequest) => Ticket;
  /** True for `SHEDDING_MS` after each refusal other than `caller-left`. */
  readonly isShedding: (nowMs: number) => boolean;
  /** Gets the current counts, after dropping the retries that are due. */
  readonly getCounts: (nowMs: number) => GateCounts;
}

/**
 * A request may wait only if its turn is expected within this share of the time to its deadline.
 */
const WAIT_SHARE = 0.5;
/** A refused caller retries ahead of its turn by this share of the time to its deadline. */
const LEAD_SHARE = 0.4;
/** A refused caller retries at least this long ahead of its turn. */
const MIN_LEAD_MS = 1_000;
/** A waiting request is refused once its turn is expected after this share of the time left. */
const UNREACHABLE_SHARE = 0.9;
/** A request that waited starts only if the time left is at least this many mean service times. */
const MIN_SERVICE_TIMES_LEFT = 1.5;
/** A service counts as shedding load for this long after a refusal. */
const SHEDDING_MS = 1_000;
/** Stale entries that the deadline heap may hold, besides two for each waiting request. */
const COMPACT_SLACK_ENTRIES = 1_024;

/** Creates the gate of one service, without slots; the random source rounds retry times. */
export function createServiceGate(random: Random): ServiceGate {
  const tree = makeShareTree();
  const queue = createFairQueue<Ticket>(tree);
  const retries = createRetrySchedule(tree, random);
  const serviceRate = createServiceRate();
  const deadlines = new Heap<Ticket>((a, b) => a.request.deadlineAtMs - b.request.deadlineAtMs);
  let slots = 0;
  let running = 0;
  let lastRefusedAtMs = -Infinity;

  const makeTicket = (request: AdmissionRequest): Ticket => {
    const { urgency, team, values } = request;
    const leaf = getLeaf(tree, urgency, team, values.weight);
    return { request, leaf, state: 'waiting', startedAtMs: 0 };
  };
  const refuse = (ticket: Ticket, code: RefusalCode, nowMs: number): Effect => {
    ticket.state = 'ended';
    if (code !== 'caller-left') lastRefusedAtMs = nowMs;
    const leadMs = Math.max(MIN_LEAD_MS, (ticket.request.deadlineAtMs - nowMs) * LEAD_SHARE);
    const retryAfterMs =
      code === 'caller-left'
        ? 0
        : retries.assignRetryMs(ticket.leaf, serviceRate.computeRate(slots), leadMs, nowMs);
    return { kind: 'refuse', ticket, failure: makeRefusal(code, retryAfterMs) };
  };
  const start = (ticket: Ticket, nowMs: number): Effect => {
    ticket.state = 'running';
    ticket.startedAtMs = nowMs;
    running += 1;
    return { kind: 'start', ticket };
  };
  const estimateWaitMs = (leaf: Leaf, ahead: number) =>
    estimateTurnMs(tree, leaf, ahead, 'waiting', serviceRate.computeRate(slots));
  /** Says whether a request's turn is expected after a share of the time to its deadline. */
  const isTooLate = ({ request, leaf }: Ticket, ahead: number, share: number, nowMs: number) =>
    estimateWaitMs(leaf, ahead) > (request.deadlineAtMs - nowMs) * share;
  /** Says whether the deadline of a request that waited is likely to pass while it runs. */
  const isDeadlineTooClose = ({ request }: Ticket, nowMs: number) =>
    request.deadlineAtMs - nowMs < serviceRate.estimateMs(request.urgency) * MIN_SERVICE_TIMES_LEFT;
  const startNext = (nowMs: number): Effect[] => {
    const effects: Effect[] = [];
    while (running < slots) {
      const ticket = queue.takeNext(({ urgencyClass }) =>
        serviceRate.estimateMs(urgencyClass.urgency),
      );
      if (ticket === undefined) break;
      effects.push(
        isDeadlineTooClose(ticket, nowMs)
          ? refuse(ticket, 'deadline-passed', nowMs)
          : start(ticket, nowMs),
      );
    }
    return effects;
  };
  /**
   * Refuses the newest requests of whoever uses most of the queue, while their turn is too late.
   */
  const refuseUnreachable = (nowMs: number): Effect[] => {
    const effects: Effect[] = [];
    for (
      let victim = queue.findEvictionCandidate();
      victim !== undefined;
      victim = queue.findEvictionCandidate()
    ) {
      if (!isTooLate(victim, victim.leaf.waiting - 1, UNREACHABLE_SHARE, nowMs)) break;
      queue.remove(victim);
      effects.push(refuse(victim, 'queue-full', nowMs));
    }
    return effects;
  };
  /** Says whether an arrival may evict a victim that uses more of the queue for its weight. */
  const isMoreEntitled = (arrival: Leaf, victim: Leaf) => {
    const [arrivalClass, victimClass] = [arrival.urgencyClass, victim.urgencyClass];
    return arrivalClass === victimClass
      ? computeOccupancy(victim) > (arrival.waiting + 1) / arrival.weight
      : computeOccupancy(victimClass) > (arrivalClass.waiting + 1) / arrivalClass.weight;
  };
  const dropStaleDeadlines = () => {
    if (deadlines.size <= COMPACT_SLACK_ENTRIES + 2 * tree.waiting) return;
    deadlines.clear();
    queue.listItems().forEach((ticket) => deadlines.push(ticket));
  };
  const addWaiter = (ticket: Ticket, nowMs: number): Effect[] => {
    queue.add(ticket);
    deadlines.push(ticket);
    dropStaleDeadlines();
    return refuseUnreachable(nowMs);
  };
  const dropEndedDeadlines = () => {
    while (deadlines.peek() !== undefined && deadlines.peek()?.state !== 'waiting') deadlines.pop();
  };
  const admitToQueue = (ticket: Ticket, nowMs: number): Effect[] => {
    const { leaf, request } = ticket;
    if (isTooLate(ticket, leaf.waiting, WAIT_SHARE, nowMs)) {
      return [refuse(ticket, 'queue-full', nowMs)];
    }
    if (tree.waiting < request.values.queueLength) return addWaiter(ticket, nowMs);
    const victim = queue.findEvictionCandidate();
    if (victim === undefined || !isMoreEntitled(leaf, victim.leaf)) {
      return [refuse(ticket, 'queue-full', nowMs)];
    }
    queue.remove(victim);
    return [refuse(victim, 'queue-full', nowMs), ...addWaiter(ticket, nowMs)];
  };

  const admitTicket = (ticket: Ticket, nowMs: number): readonly Effect[] => {
    if (ticket.request.deadlineAtMs <= nowMs) return [refuse(ticket, 'deadline-passed', nowMs)];
    if (running < slots && tree.waiting === 0) return [start(ticket, nowMs)];
    return admitToQueue(ticket, nowMs);
  };

  return {
    arrive: (request, nowMs) => {
      retries.update(nowMs);
      const ticket = makeTicket(request);
      return { ticket, effects: admitTicket(ticket, nowMs) };
    },
    release: (ticket, nowMs) => {
      if (ticket.state !== 'running') return [];
      ticket.state = 'ended';
      running -= 1;
      const { urgency } = ticket.request;
      const serviceMs = nowMs - ticket.startedAtMs;
      ticket.leaf.debtMs += serviceMs - serviceRate.estimateMs(urgency);
      serviceRate.observe(urgency, serviceMs);
      return startNext(nowMs);
    },
    cancel: (ticket, nowMs) => {
      if (ticket.state !== 'waiting' || !queue.remove(ticket)) return [];
      return [refuse(ticket, 'caller-left', nowMs)];
    },
    expire: (nowMs) => {
      const effects: Effect[] = [];
      for (;;) {
        dropEndedDeadlines();
        const ticket = deadlines.peek();
        if (ticket === undefined || ticket.request.deadlineAtMs > nowMs) return effects;
        queue.remove(ticket);
        effects.push(refuse(ticket, 'deadline-passed', nowMs));
      }
    },
    getNextDeadlineMs: () => {
      dropEndedDeadlines();
      return deadlines.peek()?.request.deadlineAtMs;
    },
    setSlots: (count, nowMs) => {
      slots = count;
      return [...startNext(nowMs), ...refuseUnreachable(nowMs)];
    },
    makeEndedTicket: (request) => ({ ...makeTicket(request), state: 'ended' }),
    isShedding: (nowMs) => nowMs - lastRefusedAtMs < SHEDDING_MS,
    getCounts: (nowMs) => {
      retries.update(nowMs);
      return { places: slots, running, waiting: tree.waiting, promised: tree.promised };
    },
  };
}
