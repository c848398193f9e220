/**
 * Notifies planners of the worker incarnations that orders for instances have ended. An order is
 * also answered as done when an earlier one was carried out already; the present incarnation then
 * continues. Only the fleet's next list shows that an incarnation has ended. It names no incarnation
 * and the worker may start again under its id, so for the planner the notice is only a hint.
 */
import type { FleetInstance } from 'vanilladock/lib/ports/fleet.js';
import type { JobGateway } from './job-gateway.js';

/** An instance as it was when the order was given. */
export type OrderedInstance = Pick<FleetInstance, 'id' | 'pool' | 'workerId'>;

/** Worker incarnations that may have ended. */
export interface IncarnationEnds {
  /** Records that an order was answered as done; ignores an instance without a worker. */
  readonly add: (instance: OrderedInstance) => void;
  /**
   * Notifies the planners of the recorded incarnations that have ended according to the list, which
   * is by instance id, and discards all records. Failed notifications are not repeated.
   */
  readonly handleList: (instances: ReadonlyMap<string, FleetInstance>) => void;
}

/** Creates the tracker without any recorded order. */
export function createIncarnationEnds(gateway: Pick<JobGateway, 'answerOnce'>): IncarnationEnds {
  const ordered = new Map<string, OrderedInstance>();
  const hasEnded = ({ id, workerId }: OrderedInstance, listed: FleetInstance | undefined) =>
    listed?.id !== id || listed.state !== 'up' || listed.workerId !== workerId;
  return {
    add: (instance) => {
      if (instance.workerId !== undefined) ordered.set(instance.id, instance);
    },
    handleList: (instances) => {
      const ended = [...ordered.values()].filter((instance) =>
        hasEnded(instance, instances.get(instance.id)),
      );
      ordered.clear();
      ended.forEach(({ pool, workerId }) => {
        if (workerId === undefined) return;
        void gateway.answerOnce({ kind: 'life-ended', pool, workerId });
      });
    },
  };
}
