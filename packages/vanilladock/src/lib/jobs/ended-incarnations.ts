/**
 * Remembers which incarnations of workers seem to have ended, while their entries may remain listed
 * for some seconds.
 */
import type { WorkerEntry } from '../ports/task-workers.js';

/** Incarnations that entries may still name. Times are monotonic, in milliseconds. */
export interface EndedIncarnations {
  /** Records that an incarnation seems to have ended; its entry is ignored for a short time. */
  readonly addUnresponsive: (incarnation: Incarnation, nowMs: number) => void;
  readonly has: (incarnation: Incarnation, nowMs: number) => boolean;
  /** Forgets the incarnations of workers that are not listed any more. */
  readonly retain: (listedIds: ReadonlySet<string>) => void;
  readonly count: () => number;
}

/** Identity of an incarnation; `bornMs` is in milliseconds since 1970, 0 if it is unknown. */
export type Incarnation = Pick<WorkerEntry, 'id' | 'bornMs'>;

/** How long the entry of an unresponsive incarnation is ignored before it is called again. */
const UNRESPONSIVE_ENTRY_TTL_MS = 2_000;

/** Creates the memory without any incarnation. */
export function createEndedIncarnations(): EndedIncarnations {
  /** Last incarnation of each worker that seems to have ended, and until when, by worker id. */
  const ended = new Map<string, { readonly bornMs: number; readonly untilMs: number }>();
  return {
    addUnresponsive: ({ id, bornMs }, nowMs) => {
      ended.set(id, { bornMs, untilMs: nowMs + UNRESPONSIVE_ENTRY_TTL_MS });
    },
    has: ({ id, bornMs }, nowMs) => {
      const known = ended.get(id);
      return known !== undefined && known.bornMs === bornMs && nowMs < known.untilMs;
    },
    retain: (listedIds) =>
      [...ended.keys()].filter((id) => !listedIds.has(id)).forEach((id) => ended.delete(id)),
    count: () => ended.size,
  };
}
