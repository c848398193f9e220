/**
 * Discrete-event simulation of policies that share upstream slots among entries: requests arrive at
 * entries, entries send them to processes by a policy, and processes queue what exceeds their
 * slots.
 */
import { Heap } from 'mnemonist';
import { createRandom, type Random } from 'vanilladock';

/** The simulated state of an upstream process. */
export interface SlotProcess {
  readonly id: string;
  /** Factor on the mean service time; 1 for a process of normal speed. */
  readonly slowness: number;
  /** Number of slots in use. */
  busy: number;
  /** Requests that were sent to the process and wait for a slot. */
  readonly queue: SlotRequest[];
}

/** The simulated state of an entry. */
export interface SlotEntry {
  readonly id: string;
  isLive: boolean;
  /** Number of requests sent to processes and not yet answered. */
  running: number;
  /** The same number by process id. */
  readonly inFlight: Map<string, number>;
  /** Requests that wait at the entry. */
  readonly queue: SlotRequest[];
}

/** A request and the times of its phases. */
export interface SlotRequest {
  readonly arrivedAtMs: number;
  sentAtMs: number;
  startedAtMs: number;
}

/** The fleet as policies see it; a policy must read only what an entry could know. */
export interface SlotFleet {
  readonly entries: readonly SlotEntry[];
  readonly processes: readonly SlotProcess[];
  readonly random: Random;
}

/** A policy for sharing slots. */
export interface SlotPolicy {
  readonly name: string;
  /** Exchanges demand; called once a second. */
  readonly exchange: (fleet: SlotFleet) => void;
  /**
   * Chooses the process for an entry's next request; undefined when the request must wait at the
   * entry.
   */
  readonly choose: (entry: SlotEntry, fleet: SlotFleet) => SlotProcess | undefined;
}

/** A load case. */
export interface SlotCase {
  readonly name: string;
  /** Offered load as a share of capacity. */
  readonly load: number;
  /** Share of the requests that go to the first entry; the others go to a random live entry. */
  readonly firstShare: number;
  /** Times, as shares of the run, at which the last entry leaves and joins again. */
  readonly leaveAt?: number;
  readonly joinAt?: number;
  /** Factor on the mean service time of the first process. */
  readonly slowness: number;
}

/** Results of a run. */
export interface SlotFigures {
  /** Requests served, as a share of those that could be served. */
  readonly goodput: number;
  /**
   * Share of the slots' time that they were idle while a request waited at an entry or another
   * process.
   */
  readonly lost: number;
  /** 99th percentile of the time spent in a process's queue, in milliseconds. */
  readonly upstreamWaitP99Ms: number;
  /** 99th percentile of the total waiting time, in milliseconds. */
  readonly waitP99Ms: number;
}

interface Event {
  readonly atMs: number;
  readonly run: () => void;
}

const ENTRY_COUNT = 6;
const PROCESS_COUNT = 7;
const SLOTS = 8;
/** Mean service time of a request. */
const SERVICE_MS = 100;
const RUN_MS = 60_000;
const EXCHANGE_MS = 1_000;

/** Draws an exponentially distributed duration. */
function pickExponential(random: Random, mean: number): number {
  return -mean * Math.log(1 - random());
}

/** Computes a quantile; sorts `values` in place. Returns 0 without values. */
function computeQuantile(values: number[], quantile: number): number {
  values.sort((a, b) => a - b);
  return values[Math.floor(values.length * quantile)] ?? 0;
}

/** Makes the initial fleet of a case. */
function makeFleet({ slowness }: SlotCase, random: Random): SlotFleet {
  const entries = Array.from({ length: ENTRY_COUNT }, (_, index) => ({
    id: `entry-${index}`,
    isLive: true,
    running: 0,
    inFlight: new Map<string, number>(),
    queue: [],
  }));
  const processes = Array.from({ length: PROCESS_COUNT }, (_, index) => ({
    id: `process-${index}`,
    slowness: index === 0 ? slowness : 1,
    busy: 0,
    queue: [],
  }));
  return { entries, processes, random };
}

/** Simulates a case under a policy. */
export function runSlotCase(policy: SlotPolicy, slotCase: SlotCase, seed: number): SlotFigures {
  const random = createRandom(seed);
  const fleet = makeFleet(slotCase, random);
  const { entries, processes } = fleet;
  const events = new Heap<Event>((a, b) => a.atMs - b.atMs);
  const ended: SlotRequest[] = [];
  const speed = processes.reduce((sum, { slowness }) => sum + 1 / slowness, 0);
  const capacityPerMs = (speed * SLOTS) / SERVICE_MS;
  let nowMs = 0;
  let lostSlotMs = 0;

  const schedule = (atMs: number, run: () => void) => events.push({ atMs, run });
  const runNext = (process: SlotProcess, entry: SlotEntry, request: SlotRequest) => {
    process.busy += 1;
    request.startedAtMs = nowMs;
    const workMs = pickExponential(random, SERVICE_MS * process.slowness);
    schedule(nowMs + workMs, () => handleEnd(process, entry, request));
  };
  const owners = new Map<SlotRequest, SlotEntry>();
  const handleEnd = (process: SlotProcess, entry: SlotEntry, request: SlotRequest) => {
    ended.push(request);
    process.busy -= 1;
    entry.running -= 1;
    entry.inFlight.set(process.id, (entry.inFlight.get(process.id) ?? 0) - 1);
    const nextRequest = process.queue.shift();
    const owner = nextRequest === undefined ? undefined : owners.get(nextRequest);
    if (nextRequest !== undefined && owner !== undefined) runNext(process, owner, nextRequest);
    sendWaiting(entry);
  };
  const sendWaiting = (entry: SlotEntry) => {
    while (entry.queue.length > 0) {
      const process = policy.choose(entry, fleet);
      if (process === undefined) return;
      const request = entry.queue.shift();
      if (request === undefined) return;
      request.sentAtMs = nowMs;
      entry.running += 1;
      entry.inFlight.set(process.id, (entry.inFlight.get(process.id) ?? 0) + 1);
      owners.set(request, entry);
      if (process.busy < SLOTS) runNext(process, entry, request);
      else process.queue.push(request);
    }
  };
  const pickEntry = () => {
    const live = entries.filter(({ isLive }) => isLive);
    const [first] = live;
    if (random() < slotCase.firstShare) return first;
    return live[Math.floor(random() * live.length)];
  };
  const handleArrival = () => {
    const entry = pickEntry();
    entry?.queue.push({ arrivedAtMs: nowMs, sentAtMs: 0, startedAtMs: 0 });
    if (entry !== undefined) sendWaiting(entry);
    const gapMs = pickExponential(random, 1 / (capacityPerMs * slotCase.load));
    if (nowMs + gapMs < RUN_MS) schedule(nowMs + gapMs, handleArrival);
  };
  const handleExchange = () => {
    policy.exchange(fleet);
    entries.forEach(sendWaiting);
    if (nowMs + EXCHANGE_MS < RUN_MS) schedule(nowMs + EXCHANGE_MS, handleExchange);
  };
  const setLastEntryLive = (isLive: boolean) => {
    const last = entries.at(-1);
    if (last !== undefined) last.isLive = isLive;
  };
  const addLostTime = (elapsedMs: number) => {
    const waiting = [...entries, ...processes].reduce((sum, { queue }) => sum + queue.length, 0);
    const idle = processes.reduce((sum, { busy }) => sum + SLOTS - busy, 0);
    lostSlotMs += Math.min(waiting, idle) * elapsedMs;
  };

  schedule(0, handleExchange);
  schedule(0, handleArrival);
  if (slotCase.leaveAt !== undefined)
    schedule(slotCase.leaveAt * RUN_MS, () => setLastEntryLive(false));
  if (slotCase.joinAt !== undefined)
    schedule(slotCase.joinAt * RUN_MS, () => setLastEntryLive(true));
  for (let event = events.pop(); event !== undefined; event = events.pop()) {
    if (event.atMs >= RUN_MS) break;
    addLostTime(event.atMs - nowMs);
    nowMs = event.atMs;
    event.run();
  }
  const possible = RUN_MS * capacityPerMs * Math.min(1, slotCase.load);
  return {
    goodput: ended.length / possible,
    lost: lostSlotMs / (RUN_MS * PROCESS_COUNT * SLOTS),
    upstreamWaitP99Ms: computeQuantile(
      ended.map(({ sentAtMs, startedAtMs }) => startedAtMs - sentAtMs),
      0.99,
    ),
    waitP99Ms: computeQuantile(
      ended.map(({ arrivedAtMs, startedAtMs }) => startedAtMs - arrivedAtMs),
      0.99,
    ),
  };
}
