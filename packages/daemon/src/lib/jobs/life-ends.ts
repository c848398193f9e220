/**
 * Tells planners of the lives that orders for instances have ended. An order may also be answered as
 * done because an earlier one did it, and then the present life goes on: only the fleet's next list shows
 * that a life is over.
 */
import type { FleetInstance } from 'vanilladock/lib/ports/fleet.js';
import type { JobGateway } from './job-gateway.js';

/** An instance as it was when the order was given. */
export type OrderedInstance = Pick<FleetInstance, 'id' | 'pool' | 'workerId'>;

/** Lives that may be over. */
export interface LifeEnds {
  /** Notes that an order for the instance was answered as done. */
  readonly add: (instance: OrderedInstance) => void;
  /** Tells the planners of those that the list shows to be over. */
  readonly handleList: (instances: ReadonlyMap<string, FleetInstance>) => void;
}

/** Creates an empty list of lives. */
export function createLifeEnds(gateway: Pick<JobGateway, 'answerOnce'>): LifeEnds {
  const ordered = new Map<string, OrderedInstance>();
  const isOver = ({ id, workerId }: OrderedInstance, found: FleetInstance | undefined) =>
    found?.id !== id || found.state !== 'up' || found.workerId !== workerId;
  return {
    add: (instance) => {
      if (instance.workerId !== undefined) ordered.set(instance.id, instance);
    },
    handleList: (instances) => {
      const over = [...ordered.values()].filter((one) => isOver(one, instances.get(one.id)));
      ordered.clear();
      over.forEach(({ pool, workerId }) => {
        if (workerId === undefined) return;
        void gateway.answerOnce({ kind: 'life-ended', pool, workerId });
      });
    },
  };
}
