/**
 * Says for how long input of this process may have waited unread. A process that gets less processor
 * time than its input needs is never idle: what it reads has waited in the kernel, which does not
 * tell since when. As long as the event loop finds something to do each time it looks, input may be
 * waiting; when it has had to wait itself, everything that had arrived before has been read.
 */
import { performance } from 'node:perf_hooks';

/** Watch of the input. */
export interface InputWait {
  /** Computes for how long input may have waited, in ms; 0 if the event loop was idle just now. */
  readonly computeWaitMs: () => number;
}

/** Idle time that shows that nothing was waiting; less is the time of looking for input. */
const MIN_IDLE_MS = 1;

/** Creates the watch; what was before does not count. */
export function createInputWait(): InputWait {
  let { idle: observedIdleMs } = performance.eventLoopUtilization();
  let lastIdleMs = performance.now();
  return {
    computeWaitMs: () => {
      const { idle } = performance.eventLoopUtilization();
      const nowMs = performance.now();
      if (idle - observedIdleMs >= MIN_IDLE_MS) {
        observedIdleMs = idle;
        lastIdleMs = nowMs;
      }
      return nowMs - lastIdleMs;
    },
  };
}
