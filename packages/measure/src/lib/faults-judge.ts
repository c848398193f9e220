/** Judges what callers were told against the upstreams' ledgers. */
import type { FaultResult } from './faults-call.js';

/** Counts of what must not happen. */
export interface FaultCounts {
  /** Orders, not idempotent, that ran more than once. */
  readonly duplicates: number;
  /** Requests told as `not-run` that ran. */
  readonly false_not_run: number;
  /** Answers shown as whole that were short, of another request, or of one that never ran. */
  readonly wrong_answers: number;
}

const OK_STATUS = 200;

/** Says whether a result shows a wrong answer as a right one. */
function isWrong(result: FaultResult, runs: number): boolean {
  if (result.status === OK_STATUS && result.isWhole) return !result.isRight || runs === 0;
  return result.verdict === 'ran' && runs === 0;
}

/** Judges results; `log` gets a line for each one that must not be. */
export function countFaultCounts(
  results: readonly FaultResult[],
  ledger: ReadonlyMap<string, number>,
  log: (line: string) => void,
): FaultCounts {
  const getRuns = ({ call }: FaultResult) => ledger.get(call.id) ?? 0;
  const select = (name: string, isBad: (result: FaultResult) => boolean) => {
    const bad = results.filter(isBad);
    bad
      .slice(0, 5)
      .forEach((one) => log(`${name}: ${JSON.stringify(one)} ran ${getRuns(one)} times`));
    return bad.length;
  };
  return {
    duplicates: select('duplicate', (one) => one.call.method === 'POST' && getRuns(one) > 1),
    false_not_run: select('false not-run', (one) => one.verdict === 'not-run' && getRuns(one) > 0),
    wrong_answers: select('wrong answer', (one) => isWrong(one, getRuns(one))),
  };
}
