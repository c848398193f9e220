/** Work of one pool: first come, first served; what waits beyond its deadline is lost. */

/** Deadline of requests, as the fleets' defaults have it. */
const DEADLINE_S = 10;

/** Work that arrived in one second, in instance-seconds. */
interface Arrival {
  readonly second: number;
  left: number;
}

/** Counts of a pool's work, in instance-seconds. */
export interface Queue {
  readonly arrivals: Arrival[];
  backlog: number;
  asked: number;
  served: number;
}

/** Creates an empty queue. */
export function createQueue(): Queue {
  return { arrivals: [], backlog: 0, asked: 0, served: 0 };
}

/** Lets a second's work arrive and drops what has waited for too long. */
export function addWork(queue: Queue, amount: number, second: number): void {
  queue.arrivals.push({ second, left: amount });
  queue.backlog += amount;
  queue.asked += amount;
  while ((queue.arrivals[0]?.second ?? second) <= second - DEADLINE_S) {
    queue.backlog -= queue.arrivals.shift()?.left ?? 0;
  }
}

/** Serves up to a capacity; gives what was used of it. */
export function serveWork(queue: Queue, capacity: number): number {
  let left = capacity;
  while (left > 0) {
    const [first] = queue.arrivals;
    if (first === undefined) break;
    const part = Math.min(left, first.left);
    first.left -= part;
    left -= part;
    if (first.left > 0) break;
    queue.arrivals.shift();
  }
  const served = capacity - left;
  queue.backlog = queue.arrivals.length === 0 ? 0 : queue.backlog - served;
  queue.served += served;
  return served;
}

/** Computes the share of work that was served. */
export function computeKept(queues: readonly Queue[]): number {
  const asked = queues.reduce((sum, queue) => sum + queue.asked, 0);
  return queues.reduce((sum, queue) => sum + queue.served, 0) / asked;
}
