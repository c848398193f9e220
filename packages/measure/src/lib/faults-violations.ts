/** Checks the answers that callers received against the runs recorded by the upstreams. */
import type { FaultResult } from './faults-call.js';

/** Counts of violations. */
export interface ViolationCounts {
  /** Orders, which are not idempotent, that ran more than once. */
  readonly duplicates: number;
  /** Requests answered with the verdict `not-run` that ran. */
  readonly false_not_run: number;
  /**
   * Answers that are complete by their HTTP framing but have a wrong body, and answers that present a
   * request as run that never ran.
   */
  readonly wrong_answers: number;
}

const OK_STATUS = 200;

/** Says whether a result presents a wrong answer as a valid result. */
function isWrong(result: FaultResult, runs: number): boolean {
  if (result.status === OK_STATUS && result.isWhole) return !result.isRight || runs === 0;
  return result.verdict === 'ran' && runs === 0;
}

/** Counts the violations among results; `log` receives up to five lines for each kind. */
export function countViolations(
  results: readonly FaultResult[],
  runCounts: ReadonlyMap<string, number>,
  log: (line: string) => void,
): ViolationCounts {
  const getRuns = ({ call }: FaultResult) => runCounts.get(call.id) ?? 0;
  const select = (name: string, isViolation: (result: FaultResult) => boolean) => {
    const violations = results.filter(isViolation);
    violations
      .slice(0, 5)
      .forEach((result) => log(`${name}: ${JSON.stringify(result)} ran ${getRuns(result)} times`));
    return violations.length;
  };
  return {
    duplicates: select(
      'duplicate',
      (result) => result.call.method === 'POST' && getRuns(result) > 1,
    ),
    false_not_run: select(
      'false not-run',
      (result) => result.verdict === 'not-run' && getRuns(result) > 0,
    ),
    wrong_answers: select('wrong answer', (result) => isWrong(result, getRuns(result))),
  };
}
