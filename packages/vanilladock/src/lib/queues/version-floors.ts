/**
 * Tells a pool's planner which submissions it has to refuse: once it has said that it does not have a
 * job of a queue that is sent to another pool now, no instance with an older configuration may hand
 * that job in here any more. The floors are part of the pool's stored metadata, so that they hold for
 * each next planner.
 */

/** Lowest versions of the configuration under which submissions of each queue are taken. */
export interface VersionFloors {
  /** Floor of all queues; the highest of those that were dropped for their number. */
  readonly base: number;
  /** Floors by the name of the queue, the one that was raised last at the end. */
  readonly byQueue: Readonly<Record<string, number>>;
}

/** Floors of a pool that no queue was sent away from. */
export const NO_FLOORS: VersionFloors = { base: -1, byQueue: {} };

/** Number of queues whose floors are kept apart. */
const MAX_QUEUES = 256;

/** Gets the lowest version under which submissions of a queue are taken. */
export function getFloor({ base, byQueue }: VersionFloors, queue: string): number {
  return Math.max(base, Object.hasOwn(byQueue, queue) ? (byQueue[queue] ?? base) : base);
}

/** Adds a floor of a queue; returns the same floors if it has one as high already. */
export function addFloor(floors: VersionFloors, queue: string, version: number): VersionFloors {
  if (getFloor(floors, queue) >= version) return floors;
  const others = Object.entries(floors.byQueue).filter(([name]) => name !== queue);
  const raised = [...others, [queue, version] as const];
  const dropped = raised.slice(0, Math.max(0, raised.length - MAX_QUEUES));
  return {
    base: Math.max(floors.base, ...dropped.map(([, floor]) => floor)),
    byQueue: Object.fromEntries(raised.slice(dropped.length)),
  };
}
