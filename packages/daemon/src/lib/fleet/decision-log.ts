/**
 * Logs the decisions of the control duties. A decision that stays the same from round to round,
 * such as a waiting pool, is logged once and then only when it changes.
 */
import type { JsonLog, LogFields } from '../json-log.js';

/** A log of decisions. */
export interface DecisionLog {
  /** Logs a decision about a subject unless it equals the previous one about that subject. */
  readonly logDecision: (subject: string, fields: LogFields) => void;
}

/** Number of subjects at which the remembered decisions are cleared, to bound their memory. */
const MAX_SUBJECTS = 10_000;

/** Creates a log of decisions. */
export function createDecisionLog(log: JsonLog): DecisionLog {
  const lastTexts = new Map<string, string>();
  return {
    logDecision: (subject, fields) => {
      const text = JSON.stringify(fields);
      if (lastTexts.get(subject) === text) return;
      if (lastTexts.size >= MAX_SUBJECTS) lastTexts.clear();
      lastTexts.set(subject, text);
      log.info(fields);
    },
  };
}
