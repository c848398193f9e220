/** Tickets of the advisor: which workers may run a step, and until when the answer holds. */

/** A ticket for all tasks of a step on one worker. */
interface Ticket {
  readonly ticket: string;
  readonly untilMs: number;
}

/** Tickets and questions of one pool. */
export interface TicketBook {
  readonly findTicket: (stepKey: string, workerId: string, nowMs: number) => string | undefined;
  /** Gives the workers to ask about now; empty while an answer is out or a ticket holds. */
  readonly takeQuestion: (
    stepKey: string,
    workerIds: readonly string[],
    nowMs: number,
  ) => readonly string[];
  readonly addAnswer: (
    stepKey: string,
    good: ReadonlyMap<string, string>,
    untilMs: number,
    nowMs: number,
  ) => void;
  readonly dropTicket: (stepKey: string, workerId: string) => void;
}

/** Most workers in one question. */
const MAX_WORKERS_ASKED = 30;

/** A question without an answer is asked again after this time. */
const QUESTION_TIMEOUT_MS = 2_000;

/** A question that named no worker is asked again after this time. */
const EMPTY_ANSWER_MS = 1_000;

/** Creates an empty book. */
export function createTicketBook(): TicketBook {
  const tickets = new Map<string, Map<string, Ticket>>();
  const askedUntilMs = new Map<string, number>();
  const findTicket = (stepKey: string, workerId: string, nowMs: number) => {
    const found = tickets.get(stepKey)?.get(workerId);
    return found !== undefined && found.untilMs > nowMs ? found.ticket : undefined;
  };
  return {
    findTicket,
    takeQuestion: (stepKey, workerIds, nowMs) => {
      const hasTicket = workerIds.some((id) => findTicket(stepKey, id, nowMs) !== undefined);
      if (hasTicket || (askedUntilMs.get(stepKey) ?? 0) > nowMs) return [];
      askedUntilMs.set(stepKey, nowMs + QUESTION_TIMEOUT_MS);
      return workerIds.slice(0, MAX_WORKERS_ASKED);
    },
    addAnswer: (stepKey, good, untilMs, nowMs) => {
      const entries = [...good].map(([id, ticket]) => [id, { ticket, untilMs }] as const);
      tickets.set(stepKey, new Map(entries));
      askedUntilMs.set(stepKey, good.size === 0 ? nowMs + EMPTY_ANSWER_MS : 0);
    },
    dropTicket: (stepKey, workerId) => {
      tickets.get(stepKey)?.delete(workerId);
    },
  };
}
