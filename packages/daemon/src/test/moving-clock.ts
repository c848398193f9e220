/**
 * Fake timers with a monotonic clock that moves between two reads, as a real one does. With one that
 * stands still while code runs, a call counts as sent at the moment of what is decided after it.
 */
import { install, type Clock } from '@sinonjs/fake-timers';

/** Time by which each read within a millisecond is later than the one before it. */
const READ_MS = 0.001;

const MAX_READS = 999;

/** Installs the timers at the time 0. */
export function createMovingClock(): Clock {
  const clock = install({ now: 0 });
  const readMs = performance.now.bind(performance);
  let lastMs = -1;
  let reads = 0;
  performance.now = () => {
    const nowMs = readMs();
    reads = nowMs === lastMs ? Math.min(reads + 1, MAX_READS) : 0;
    lastMs = nowMs;
    return nowMs + reads * READ_MS;
  };
  return clock;
}
