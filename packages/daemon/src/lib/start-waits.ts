/**
 * Waits of a process that starts for conditions that pass by themselves, such as a port that a
 * predecessor still uses: tries again with backoff, and logs what it waits for.
 */
import { createBackoff } from './backoff.js';
import type { JsonLog } from './json-log.js';

/** What a wait depends on. */
export interface StartWaitOptions {
  /** Ends the wait once it is aborted. */
  readonly signal: AbortSignal;
  readonly log: Pick<JsonLog, 'info' | 'warn'>;
}

/** First and longest pause between two attempts. */
const MIN_PAUSE_MS = 100;
const MAX_PAUSE_MS = 1_000;

/** While the cause stays the same, it is logged this often. */
const REPEAT_MS = 30_000;

/** Resolves when a signal is aborted, at once if it already is. */
export function waitAborted(signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal.aborted) resolve();
    else signal.addEventListener('abort', () => resolve(), { once: true });
  });
}

/** Resolves after a number of milliseconds, or when a signal is aborted. */
function waitUnlessAborted(delayMs: number, signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    const resolveWait = () => {
      clearTimeout(timer);
      signal.removeEventListener('abort', resolveWait);
      resolve();
    };
    const timer = setTimeout(resolveWait, delayMs);
    signal.addEventListener('abort', resolveWait);
  });
}

/** Creates a function that logs why a condition is not met: each new cause, then now and then. */
function createCauseLog(condition: string, log: StartWaitOptions['log'], startedMs: number) {
  let lastReason: string | undefined;
  let lastLoggedMs = -Infinity;
  return (reason: string) => {
    const nowMs = performance.now();
    if (reason === lastReason && nowMs - lastLoggedMs < REPEAT_MS) return;
    lastReason = reason;
    lastLoggedMs = nowMs;
    const waitedMs = Math.round(nowMs - startedMs);
    log.warn({ event: 'start-waiting', condition, reason, waitedMs });
  };
}

/**
 * Tries until an attempt succeeds, with pauses of 0.1 s that double up to 1 s. `condition` names
 * what is waited for in the log; the message of an attempt's error is to tell what to do. Resolves to
 * the value of the attempt, or to undefined once the signal is aborted.
 *
 * @example
 * ```ts
 * const settings = await waitForCondition('settings', () => readSettings(path), { signal, log });
 * ```
 */
export async function waitForCondition<Value>(
  condition: string,
  attempt: () => Value | Promise<Value>,
  { signal, log }: StartWaitOptions,
): Promise<Value | undefined> {
  // The conditions are local to the process, so that jitter would spread no load.
  const backoff = createBackoff(MIN_PAUSE_MS, MAX_PAUSE_MS, () => 1);
  const startedMs = performance.now();
  const logCause = createCauseLog(condition, log, startedMs);
  let failures = 0;
  while (!signal.aborted) {
    try {
      const value = await attempt();
      const waitedMs = Math.round(performance.now() - startedMs);
      if (failures > 0) log.info({ event: 'start-resumed', condition, waitedMs });
      return value;
    } catch (error) {
      failures += 1;
      logCause(error instanceof Error ? error.message : String(error));
      await waitUnlessAborted(backoff.takeDelay(), signal);
    }
  }
  return undefined;
}
