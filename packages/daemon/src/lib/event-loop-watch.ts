/**
 * Watches how late the event loop runs its timers, which delays everything that the process does:
 * figures for the metrics, and a log line for each long delay.
 */
import { createHistogram } from 'node:perf_hooks';
import type { JsonLog } from './json-log.js';

/** Delays of timers, in milliseconds. */
export interface EventLoopDelays {
  readonly maxMs: number;
  readonly p99Ms: number;
}

/** Watch of this process's event loop. */
export interface EventLoopWatch {
  /** Returns the delays since the last call; zeros if none was measured. */
  readonly takeDelays: () => EventLoopDelays;
  readonly stop: () => void;
}

/** Interval of the timer whose delay is measured. */
const TIMER_INTERVAL_MS = 250;

/** Delay of the timer from which it is logged. */
const LATE_MS = 500;

/** Longer delays are recorded as this. */
const MAX_RECORDED_MS = 3_600_000;

const SIGNIFICANT_DIGITS = 2;
const MICROSECONDS_PER_MS = 1_000;
const P99 = 99;

/** Starts the watch; its timer does not keep the process alive. */
export function startEventLoopWatch(log: JsonLog): EventLoopWatch {
  const highest = MAX_RECORDED_MS * MICROSECONDS_PER_MS;
  const delays = createHistogram({ highest, figures: SIGNIFICANT_DIGITS });
  let expectedMs = performance.now() + TIMER_INTERVAL_MS;
  let usage = process.cpuUsage();

  const observeTimer = () => {
    const nowMs = performance.now();
    const lateMs = Math.max(0, nowMs - expectedMs);
    expectedMs = nowMs + TIMER_INTERVAL_MS;
    const lateMicroseconds = Math.round(lateMs * MICROSECONDS_PER_MS);
    delays.record(Math.min(Math.max(1, lateMicroseconds), highest));
    const { user, system } = process.cpuUsage(usage);
    usage = process.cpuUsage();
    if (lateMs <= LATE_MS) return;
    const cpuMs = Math.round((user + system) / MICROSECONDS_PER_MS);
    log.warn({ event: 'event-loop-late', lateMs: Math.round(lateMs), cpuMs });
  };
  const timer = setInterval(observeTimer, TIMER_INTERVAL_MS);
  timer.unref();
  return {
    takeDelays: () => {
      if (delays.count === 0) return { maxMs: 0, p99Ms: 0 };
      const maxMs = delays.max / MICROSECONDS_PER_MS;
      const p99Ms = Math.min(maxMs, delays.percentile(P99) / MICROSECONDS_PER_MS);
      delays.reset();
      return { maxMs, p99Ms };
    },
    stop: () => clearInterval(timer),
  };
}
