/** Tickets from the advisor: which workers may run a step, and until when the answer is valid. */

/** A ticket for all tasks of a step on one worker. */
interface Ticket {
  readonly ticket: string;
  readonly untilMs: number;
}

/**
 * Registry of the tickets and pending advisor queries of one pool. Times are monotonic,
 * in milliseconds.
 */
export interface TicketRegistry {
  /** Finds the ticket of a step on a worker; undefined when there is none or it has expired. */
  readonly findTicket: (stepKey: string, workerId: string, nowMs: number) => string | undefined;
  /**
   * Returns which of these workers to query now, and marks the query as pending. Empty while a
   * query is pending or one of these workers has a valid ticket.
   */
  readonly takeQuery: (
    stepKey: string,
    workerIds: readonly string[],
    nowMs: number,
  ) => readonly string[];
  /**
   * Replaces the tickets of a step; `good` has the ticket of each worker that may run it, by worker
   * id, and may be empty. The tickets are valid until `untilMs`.
   */
  readonly addAnswer: (
    stepKey: string,
    good: ReadonlyMap<string, string>,
    untilMs: number,
    nowMs: number,
  ) => void;
  /** Removes the ticket of a worker that has rejected it. */
  readonly dropTicket: (stepKey: string, workerId: string) => void;
}

/** Maximum number of workers in one query. */
const MAX_WORKERS_PER_QUERY = 30;

/** Time after which a query without an answer is repeated. */
const QUERY_TIMEOUT_MS = 2_000;

/** Time after which a query is repeated if its answer allowed no worker. */
const EMPTY_ANSWER_RETRY_MS = 1_000;

/** Creates an empty registry. */
export function createTicketRegistry(): TicketRegistry {
  const tickets = new Map<string, Map<string, Ticket>>();
  const nextQueryMs = new Map<string, number>();
  const findTicket = (stepKey: string, workerId: string, nowMs: number) => {
    const found = tickets.get(stepKey)?.get(workerId);
    return found !== undefined && found.untilMs > nowMs ? found.ticket : undefined;
  };
  return {
    findTicket,
    takeQuery: (stepKey, workerIds, nowMs) => {
      const hasTicket = workerIds.some((id) => findTicket(stepKey, id, nowMs) !== undefined);
      if (hasTicket || (nextQueryMs.get(stepKey) ?? 0) > nowMs) return [];
      nextQueryMs.set(stepKey, nowMs + QUERY_TIMEOUT_MS);
      return workerIds.slice(0, MAX_WORKERS_PER_QUERY);
    },
    addAnswer: (stepKey, good, untilMs, nowMs) => {
      const entries = [...good].map(([id, ticket]) => [id, { ticket, untilMs }] as const);
      tickets.set(stepKey, new Map(entries));
      nextQueryMs.set(stepKey, good.size === 0 ? nowMs + EMPTY_ANSWER_RETRY_MS : 0);
    },
    dropTicket: (stepKey, workerId) => {
      tickets.get(stepKey)?.delete(workerId);
    },
  };
}
