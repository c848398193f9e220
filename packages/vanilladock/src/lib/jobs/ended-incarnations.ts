/**
 * Remembers which incarnations of workers have ended, or seem to have, while their entries may
 * remain listed for some seconds.
 */
import type { WorkerEntry } from '../ports/task-workers.js';

/** Incarnations that entries may still name. Times are monotonic, in milliseconds. */
export interface EndedIncarnations {
  /** Records that a later incarnation has replaced this one, which is final. */
  readonly addReplaced: (incarnation: Incarnation) => void;
  /** Records that an incarnation seems to have ended; its entry is ignored for a short time. */
  readonly addUnresponsive: (incarnation: Incarnation, nowMs: number) => void;
  /** Says whether the entry of an incarnation is to be ignored now. */
  readonly has: (incarnation: Incarnation, nowMs: number) => boolean;
  /** Says whether an incarnation that is still listed has seemed to have ended at any time. */
  readonly hasSeemedEnded: (incarnation: Incarnation) => boolean;
  /** Forgets the incarnations of workers that are not listed any more. */
  readonly retain: (listedIds: ReadonlySet<string>) => void;
  /** Counts the incarnations that seem to have ended and have not been replaced. */
  readonly countUnresponsive: (nowMs: number) => number;
}

/** Identity of an incarnation; `bornMs` is in milliseconds since 1970, 0 if it is unknown. */
export type Incarnation = Pick<WorkerEntry, 'id' | 'bornMs'>;

/** Makes the key of an incarnation; it is unique among workers. */
export function makeIncarnationKey(workerId: string, bornMs: number): string {
  return `${workerId}~${bornMs}`;
}

/** How long the entry of an unresponsive incarnation is ignored before it is called again. */
const UNRESPONSIVE_ENTRY_TTL_MS = 2_000;

/** Creates the memory without any incarnation. */
export function createEndedIncarnations(): EndedIncarnations {
  /** Until when each worker's ended incarnations are ignored, by their starts, by worker id. */
  const ended = new Map<string, Map<number, number>>();
  const add = ({ id, bornMs }: Incarnation, untilMs: number) => {
    const ofWorker = ended.get(id) ?? new Map<number, number>();
    ended.set(id, ofWorker.set(bornMs, Math.max(untilMs, ofWorker.get(bornMs) ?? 0)));
  };
  return {
    addReplaced: (incarnation) => add(incarnation, Infinity),
    addUnresponsive: (incarnation, nowMs) => add(incarnation, nowMs + UNRESPONSIVE_ENTRY_TTL_MS),
    has: ({ id, bornMs }, nowMs) => (ended.get(id)?.get(bornMs) ?? -Infinity) > nowMs,
    hasSeemedEnded: ({ id, bornMs }) => ended.get(id)?.has(bornMs) ?? false,
    retain: (listedIds) =>
      [...ended.keys()].filter((id) => !listedIds.has(id)).forEach((id) => ended.delete(id)),
    countUnresponsive: (nowMs) =>
      [...ended.values()]
        .flatMap((ofWorker) => [...ofWorker.values()])
        .filter((untilMs) => untilMs > nowMs && untilMs < Infinity).length,
  };
}
