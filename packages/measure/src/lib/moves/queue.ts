/** The work queue of one pool: FIFO; work that waits beyond its deadline is dropped. */

/** Deadline of requests by the fleets' default settings. */
const DEADLINE_S = 10;

/** Work that arrived in one second, in instance-seconds. */
interface Arrival {
  readonly second: number;
  remaining: number;
}

/** Counts of a pool's work, in instance-seconds. */
export interface Queue {
  /** Work that is not yet served, oldest first. */
  readonly arrivals: Arrival[];
  backlog: number;
  /** All work that ever arrived. */
  asked: number;
  served: number;
}

/** Creates an empty queue. */
export function createQueue(): Queue {
  return { arrivals: [], backlog: 0, asked: 0, served: 0 };
}

/** Adds the work that arrives in a second and drops the work whose deadline has passed. */
export function addWork(queue: Queue, amount: number, second: number): void {
  queue.arrivals.push({ second, remaining: amount });
  queue.backlog += amount;
  queue.asked += amount;
  while ((queue.arrivals[0]?.second ?? second) <= second - DEADLINE_S) {
    queue.backlog -= queue.arrivals.shift()?.remaining ?? 0;
  }
}

/** Serves queued work up to a capacity, in instance-seconds; returns the amount served. */
export function serveWork(queue: Queue, capacity: number): number {
  let remaining = capacity;
  while (remaining > 0) {
    const [first] = queue.arrivals;
    if (first === undefined) break;
    const part = Math.min(remaining, first.remaining);
    first.remaining -= part;
    remaining -= part;
    if (first.remaining > 0) break;
    queue.arrivals.shift();
  }
  const served = capacity - remaining;
  queue.backlog = queue.arrivals.length === 0 ? 0 : queue.backlog - served;
  queue.served += served;
  return served;
}

/** Computes the share of all requested work that was served. */
export function computeKept(queues: readonly Queue[]): number {
  const asked = queues.reduce((sum, queue) => sum + queue.asked, 0);
  return queues.reduce((sum, queue) => sum + queue.served, 0) / asked;
}
