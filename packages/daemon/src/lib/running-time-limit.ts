/**
 * Time limits that count only time in which this process ran. A process that was paused, or had no
 * processor time, may have the answer in its socket already, or may not have sent the request yet:
 * its own lateness says nothing about the other side.
 */

/** A started time limit. */
export interface RunningTimeLimit {
  /** Ends the limit without effect. */
  readonly cancel: () => void;
}

/** A timer that is later than this shows that the process did not run, in milliseconds. */
const LATE_TIMER_MS = 50;

/**
 * Calls `handleExpired` after `limitMs`. Input that has arrived by then is handled first. If the
 * process did not run when the limit ended, it is extended once by the time that was lost, at most
 * by its own length.
 */
export function startRunningTimeLimit(
  limitMs: number,
  handleExpired: () => void,
): RunningTimeLimit {
  let isCancelled = false;
  let isExtended = false;
  let dueMs = performance.now() + limitMs;
  let timer = setTimeout(handleTimer, limitMs);

  function handleTimer(): void {
    const lateMs = performance.now() - dueMs;
    if (lateMs > LATE_TIMER_MS && !isExtended) {
      isExtended = true;
      const extensionMs = Math.min(lateMs, limitMs);
      dueMs = performance.now() + extensionMs;
      timer = setTimeout(handleTimer, extensionMs);
      return;
    }
    // Immediates run after the event loop has polled the sockets.
    setImmediate(() => {
      if (!isCancelled) handleExpired();
    });
  }
  return {
    cancel: () => {
      isCancelled = true;
      clearTimeout(timer);
    },
  };
}
