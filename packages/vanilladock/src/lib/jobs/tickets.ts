/** Tickets from the advisor: which workers may run a step, and until when the answer is valid. */
import { createQueryWindow } from './query-window.js';

/** The advisor's answer for one step on one worker. */
interface WorkerAnswer {
  /** Ticket for all tasks of the step; undefined if the worker may not run them. */
  readonly ticket: string | undefined;
  readonly untilMs: number;
}

/** A query that was not answered yet. */
interface PendingQuery {
  readonly workerIds: readonly string[];
  readonly sentMs: number;
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
   * query for the step or too many others are pending, one of these workers has a valid ticket, or
   * the answers for all of them are known.
   */
  readonly takeQuery: (
    stepKey: string,
    workerIds: readonly string[],
    nowMs: number,
  ) => readonly string[];
  /**
   * Records the answer to the pending query; `good` has the ticket of each worker that may run the
   * step, by worker id, and may be empty. The tickets are valid until `untilMs`.
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

/** A query without an answer after this time has failed; its call has been given up before. */
const QUERY_TIMEOUT_MS = 3_200;

/** Time after which the advisor is queried again about a worker that may not run a step. */
const DENIAL_TTL_MS = 3_000;

/** Minimum time between two searches for steps whose answers have all expired. */
const CLEANUP_INTERVAL_MS = 10_000;

/** Creates an empty registry; `handleAnswer` is called with the key of each step answered for. */
export function createTicketRegistry(
  handleAnswer: (stepKey: string) => void = () => {},
): TicketRegistry {
  const answers = new Map<string, Map<string, WorkerAnswer>>();
  const pending = new Map<string, PendingQuery>();
  const window = createQueryWindow();
  let cleanedUpMs = 0;

  const findAnswer = (stepKey: string, workerId: string, nowMs: number) => {
    const found = answers.get(stepKey)?.get(workerId);
    return found !== undefined && found.untilMs > nowMs ? found : undefined;
  };
  const findTicket = (stepKey: string, workerId: string, nowMs: number) =>
    findAnswer(stepKey, workerId, nowMs)?.ticket;
  const dropTimedOut = (nowMs: number) => {
    pending.forEach(({ sentMs }, stepKey) => {
      if (nowMs - sentMs < QUERY_TIMEOUT_MS) return;
      pending.delete(stepKey);
      window.observeTimeout(nowMs);
    });
  };
  const dropExpired = (nowMs: number) => {
    if (nowMs - cleanedUpMs < CLEANUP_INTERVAL_MS) return;
    cleanedUpMs = nowMs;
    answers.forEach((byWorker, stepKey) => {
      if ([...byWorker.values()].every(({ untilMs }) => untilMs <= nowMs)) answers.delete(stepKey);
    });
  };
  return {
    findTicket,
    takeQuery: (stepKey, workerIds, nowMs) => {
      dropTimedOut(nowMs);
      if (pending.has(stepKey) || !window.hasRoom(pending.size, nowMs)) return [];
      if (workerIds.some((id) => findTicket(stepKey, id, nowMs) !== undefined)) return [];
      const unknown = workerIds.filter((id) => findAnswer(stepKey, id, nowMs) === undefined);
      const queried = unknown.slice(0, MAX_WORKERS_PER_QUERY);
      if (queried.length > 0) pending.set(stepKey, { workerIds: queried, sentMs: nowMs });
      return queried;
    },
    addAnswer: (stepKey, good, untilMs, nowMs) => {
      dropExpired(nowMs);
      const query = pending.get(stepKey);
      pending.delete(stepKey);
      if (query !== undefined) window.observeAnswer(nowMs - query.sentMs);
      const byWorker = answers.get(stepKey) ?? new Map<string, WorkerAnswer>();
      query?.workerIds.forEach((id) => {
        byWorker.set(id, { ticket: undefined, untilMs: nowMs + DENIAL_TTL_MS });
      });
      good.forEach((ticket, id) => byWorker.set(id, { ticket, untilMs }));
      answers.set(stepKey, byWorker);
      handleAnswer(stepKey);
    },
    dropTicket: (stepKey, workerId) => {
      answers.get(stepKey)?.delete(workerId);
    },
  };
}
