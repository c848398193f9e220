/** Orders to simulated workers, as a planner sends them: some are answered late or never. */
import type { OrderOutcome, TaskWorkers } from 'vanilladock/lib/ports/task-workers.js';
import { waitFor } from './memory-store.js';
import type { Incarnation } from './simulated-worker.js';

/** Time after which a call counts as unanswered, beside the time that a poll may take. */
const TIMEOUT_MS = 400;

/**
 * Has an order executed by an incarnation of a worker; a promise that stays pending stands for an
 * answer that never comes.
 */
type AnswerCall = <T>(
  workerId: string,
  execute: (incarnation: Incarnation) => T | Promise<T>,
) => Promise<T>;

/** Makes the workers of a planner, whose calls end as unknown when no answer comes in time. */
export const makeTaskWorkers = (answerCall: AnswerCall): TaskWorkers => {
  const sendCall = async <T extends { readonly kind: string }>(
    id: string,
    timeoutMs: number,
    execute: (incarnation: Incarnation) => T | Promise<T>,
  ): Promise<T | { readonly kind: 'unknown' }> => {
    const unanswered = waitFor(timeoutMs).then(() => ({ kind: 'unknown' }) as const);
    return Promise.race([answerCall(id, execute), unanswered]);
  };
  return {
    startTask: ({ id }, order) => sendCall<OrderOutcome>(id, TIMEOUT_MS, (w) => w.start(order)),
    stopTask: ({ id }, order) => sendCall<OrderOutcome>(id, TIMEOUT_MS, (w) => w.stop(order)),
    renew: ({ id }, order) => sendCall(id, TIMEOUT_MS + order.waitMs, (w) => w.renew(order)),
    pace: () => Promise.resolve({ kind: 'accepted', clockMs: 0 }),
  };
};
