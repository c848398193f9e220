/**
 * Evacuates workers before orders that end what runs on them. The tasks that a planner reported
 * count only while the evacuation under which it reported them is certain to hold, as the planner
 * may start new tasks on the worker afterwards.
 */
import { EVACUATION_ORDER_TTL_MS } from 'vanilladock/lib/jobs/worker-incarnations.js';
import type { EvacuatedWorker } from 'vanilladock/lib/waves/plan-wave.js';
import type { JobGateway } from './job-gateway.js';

/** A worker's evacuation. */
interface Evacuation extends EvacuatedWorker {
  /** Monotonic time in milliseconds at which the last renewal was sent. */
  readonly renewedMs: number;
}

/** Evacuations of workers by one holder of the fleet duty. */
export interface Evacuations {
  /**
   * Starts or renews the evacuation of a worker, which then holds long enough for an order that is
   * sent at once; undefined while the planner of its pool does not answer in time or does not know
   * the worker's tasks.
   */
  readonly renew: (pool: string, workerId: string) => Promise<EvacuatedWorker | undefined>;
  /** Lists the workers, by id, whose evacuations hold at the monotonic time `nowMs`. */
  readonly list: (nowMs: number) => ReadonlyMap<string, EvacuatedWorker>;
}

/** Time within which an order that is sent takes effect, unless its call has timed out. */
const ORDER_MS = 1_500;

/** Creates the evacuations; there are none at first. */
export function createEvacuations(gateway: Pick<JobGateway, 'answerOnce'>): Evacuations {
  const evacuations = new Map<string, Evacuation>();
  const dropLapsed = (nowMs: number) => {
    [...evacuations]
      .filter(([, { renewedMs }]) => nowMs - renewedMs > EVACUATION_ORDER_TTL_MS)
      .forEach(([workerId]) => evacuations.delete(workerId));
  };
  return {
    list: (nowMs) => {
      dropLapsed(nowMs);
      return new Map(evacuations);
    },
    renew: async (pool, workerId) => {
      const renewedMs = performance.now();
      dropLapsed(renewedMs);
      const reply = await gateway.answerOnce({ kind: 'evacuate', pool, workerId });
      if (reply.kind !== 'content') return undefined;
      const { lastingTasks, batchTasks } = reply;
      const known = evacuations.get(workerId);
      if (known === undefined || known.renewedMs <= renewedMs) {
        const sinceMs = known?.sinceMs ?? renewedMs;
        evacuations.set(workerId, { content: { lastingTasks, batchTasks }, sinceMs, renewedMs });
      }
      const isInTime = performance.now() - renewedMs <= EVACUATION_ORDER_TTL_MS - ORDER_MS;
      return isInTime ? evacuations.get(workerId) : undefined;
    },
  };
}
