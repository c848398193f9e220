/** Admission counters by team and urgency, for status pages and metrics. */
import type { Urgency } from '../config/schema.js';
import type { Effect, RefusalCode } from './request.js';

/** Counters of one team and urgency since the entry started. */
export interface AdmissionCounters {
  readonly started: number;
  readonly refused: Readonly<Record<RefusalCode, number>>;
}

/** The counters with the team and the urgency that they belong to. */
export interface AdmissionCount extends AdmissionCounters {
  readonly team: string;
  readonly urgency: Urgency;
}

/** Counts the effects of admission decisions. */
export interface AdmissionStats {
  readonly observe: (effect: Effect) => void;
  /** Lists a copy of the counters of each team and urgency that had an effect. */
  readonly listCounts: () => readonly AdmissionCount[];
}

interface Counters {
  readonly team: string;
  readonly urgency: Urgency;
  started: number;
  readonly refused: Record<RefusalCode, number>;
}

/** Makes counters at zero. */
function makeCounters(team: string, urgency: Urgency): Counters {
  const refused = { 'queue-full': 0, 'quota-exceeded': 0, 'deadline-passed': 0, 'caller-left': 0 };
  return { team, urgency, started: 0, refused };
}

/** Creates counters at zero. */
export function createAdmissionStats(): AdmissionStats {
  const counters = new Map<string, Counters>();
  return {
    observe: (effect) => {
      const { team, urgency } = effect.ticket.request;
      const key = `${urgency} ${team}`;
      const counter = counters.get(key) ?? makeCounters(team, urgency);
      counters.set(key, counter);
      switch (effect.kind) {
        case 'start':
          counter.started += 1;
          return;
        case 'refuse':
          counter.refused[effect.failure.code as RefusalCode] += 1;
          return;
        default:
          effect satisfies never;
      }
    },
    listCounts: () =>
      [...counters.values()].map(({ refused, ...rest }) => ({ ...rest, refused: { ...refused } })),
  };
}
