/**
 * Keeps an error of the port to the workers from reaching the planner: a call that fails without an
 * outcome counts as one without a response, of that worker alone, and is logged.
 */
import type { TaskWorkers, WorkerTarget } from 'vanilladock/lib/ports/task-workers.js';
import type { JsonLog } from '../json-log.js';

/** Outcome of a call whose effect is not known. */
const UNKNOWN = { kind: 'unknown' } as const;

/** Creates a port to the same workers whose calls never reject or throw. */
export function createContainedWorkers(
  workers: TaskWorkers,
  log: Pick<JsonLog, 'error'>,
): TaskWorkers {
  const makeCall =
    <Order, Outcome>(
      call: string,
      send: (worker: WorkerTarget, order: Order) => Promise<Outcome | typeof UNKNOWN>,
    ) =>
    async (worker: WorkerTarget, order: Order) => {
      try {
        return await send(worker, order);
      } catch (error) {
        log.error({ event: 'worker-call-failed', call, worker: worker.id, reason: String(error) });
        return UNKNOWN;
      }
    };
  return {
    startTask: makeCall('start', workers.startTask),
    stopTask: makeCall('stop', workers.stopTask),
    renew: makeCall('renew', workers.renew),
    pace: makeCall('pace', workers.pace),
  };
}
