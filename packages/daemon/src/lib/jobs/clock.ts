/** The runtime's clocks as one moment. */
import type { Moment } from 'vanilladock/lib/jobs/state.js';

/** Reads both clocks. */
export function readMoment(): Moment {
  return { nowMs: performance.now(), wallMs: Date.now() };
}

/** Waits without keeping the process alive. */
export function waitMs(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms).unref();
  });
}
