/**
 * Repeats rounds for as long as a part of the instance lives. Nobody waits for such a loop, so that
 * an error in one round must neither end the process nor the loop: without its rounds, the instance
 * would go on with an old configuration, or would never claim a duty again.
 */
import { makeErrorFields } from '../error-guard.js';
import type { JsonLog } from '../json-log.js';
import { waitMs } from './clock.js';

/** A loop. */
export interface EndlessLoop {
  /** Names the loop in the log. */
  readonly where: string;
  readonly log: Pick<JsonLog, 'error'>;
  readonly isStopped: () => boolean;
  /** Runs one round, with the pause that follows it. */
  readonly runRound: () => Promise<void>;
  /** Called after an error, before the next round. */
  readonly handleFailed?: () => void;
}

/** Pause after a round that failed, in milliseconds; it bounds the lines of a lasting fault. */
const FAILED_PAUSE_MS = 1_000;

/** Runs rounds until the loop is stopped; an error in one is logged as `loop-failed`. Never rejects. */
export async function runEndlessLoop(loop: EndlessLoop): Promise<void> {
  const { where, log, isStopped, runRound, handleFailed } = loop;
  while (!isStopped()) {
    try {
      await runRound();
    } catch (error) {
      log.error({ event: 'loop-failed', where, ...makeErrorFields(error) });
      handleFailed?.();
      await waitMs(FAILED_PAUSE_MS);
    }
  }
}
