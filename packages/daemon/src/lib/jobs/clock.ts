/** The runtime's clocks and timers. */
import type { Moment } from 'vanilladock/lib/jobs/state.js';

/** Reads the monotonic and the wall clock, both in milliseconds. */
export function readMoment(): Moment {
  return { nowMs: performance.now(), wallMs: Date.now() };
}

/** Resolves after `ms` milliseconds; the timer does not keep the process alive. */
export function waitMs(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms).unref();
  });
}
