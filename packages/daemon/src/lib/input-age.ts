/**
 * Says how old a call may be that the process reads now. The time of a call's arrival is not known: a
 * process that was paused finds calls that the kernel took long before. Their effects would be older
 * than anything that others have kept about them.
 */
import { computeElapsedMs, type ClockPair } from 'vanilladock/lib/clock-pair.js';
import type { JsonLog } from './json-log.js';

/** Watch of the age of a process's input. */
export interface InputAgeWatch {
  /** Says whether a call that is read now may have waited for longer than `MAX_INPUT_AGE_MS`. */
  readonly mayBeOld: () => boolean;
  readonly stop: () => void;
}

/** Age up to which a call may have any effect: a fraction of the time for which cancels are kept. */
export const MAX_INPUT_AGE_MS = 30_000;

/** Interval in which the process notes that it runs. */
const NOTE_INTERVAL_MS = 500;

/** Time after a pause in which calls that arrived before its end are still read. */
const BACKLOG_READ_MS = 1_000;

/** Reads both clocks. */
function readClocks(): ClockPair {
  return { nowMs: performance.now(), wallMs: Date.now() };
}

/** Starts the watch; its timer does not keep the process alive. */
export function startInputAgeWatch(log: Pick<JsonLog, 'warn'>): InputAgeWatch {
  let noted = readClocks();
  let oldUntilMs = -Infinity;
  const observeTime = () => {
    const current = readClocks();
    const pausedMs = computeElapsedMs(noted, current);
    noted = current;
    if (pausedMs <= MAX_INPUT_AGE_MS) return;
    oldUntilMs = current.nowMs + BACKLOG_READ_MS;
    log.warn({ event: 'input-old', pausedMs: Math.round(pausedMs), untilMs: BACKLOG_READ_MS });
  };
  const timer = setInterval(observeTime, NOTE_INTERVAL_MS);
  timer.unref();
  return {
    mayBeOld: () => {
      observeTime();
      return performance.now() < oldUntilMs;
    },
    stop: () => clearInterval(timer),
  };
}
