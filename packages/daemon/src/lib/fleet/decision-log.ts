/**
 * Writes one log line for each decision of the control duties. A decision that stays the same from
 * round to round, such as a pool that waits, is written once until it changes.
 */
import type { JsonLog, LogFields } from '../json-log.js';

/** A log of decisions. */
export interface DecisionLog {
  /** Writes a decision about a subject unless it equals the last one about it. */
  readonly logDecision: (subject: string, fields: LogFields) => void;
}

const SUBJECTS_KEPT = 10_000;

/** Creates a log of decisions. */
export function createDecisionLog(log: JsonLog): DecisionLog {
  const last = new Map<string, string>();
  return {
    logDecision: (subject, fields) => {
      const text = JSON.stringify(fields);
      if (last.get(subject) === text) return;
      if (last.size >= SUBJECTS_KEPT) last.clear();
      last.set(subject, text);
      log.info(fields);
    },
  };
}
