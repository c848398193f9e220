/**
 * Lets a simulated process freeze under fake timers: while it is frozen none of its timers fires,
 * what is called from outside waits, and answers reach it when it wakes. Its monotonic clock may go
 * on meanwhile or stand. Code belongs to a process by its asynchronous context.
 */
import { AsyncLocalStorage } from 'node:async_hooks';

/** Timer of a process; stands for the runtime's own. */
interface ProcessTimer {
  readonly unref: () => ProcessTimer;
  readonly ref: () => ProcessTimer;
  readonly cancel: () => void;
}

interface TimerHost {
  readonly lagMs: () => number;
  readonly addTimer: (handler: () => void, ms: number, isRepeated: boolean) => ProcessTimer;
}

export type ProcessClock = ReturnType<typeof createProcessClock>;

/** Time by which a timer may fire early, in milliseconds. */
const EARLY_MS = 1;

const contexts = new AsyncLocalStorage<TimerHost | undefined>();
const timers = new WeakSet<object>();

/** Makes the timers in force those of the process that runs; ends with the fake clock. */
export function startProcessTimers(): void {
  const { setTimeout: plainTimeout, setInterval: plainInterval } = globalThis;
  const { clearTimeout: plainClear, clearInterval: plainClearInterval } = globalThis;
  const readMs = performance.now.bind(performance);
  const makeAdd = (plain: typeof plainTimeout | typeof plainInterval, isRepeated: boolean) =>
    ((handler: () => void, ms = 0) => {
      const host = contexts.getStore();
      return host === undefined ? plain(handler, ms) : host.addTimer(handler, ms, isRepeated);
    }) as unknown as typeof plainTimeout;
  const makeClear = (plain: (timer: never) => void) => (timer: unknown) => {
    if (typeof timer === 'object' && timer !== null && timers.has(timer)) {
      (timer as ProcessTimer).cancel();
    } else plain(timer as never);
  };
  Object.assign(globalThis, {
    setTimeout: makeAdd(plainTimeout, false),
    setInterval: makeAdd(plainInterval, true),
    clearTimeout: makeClear(plainClear as (timer: never) => void),
    clearInterval: makeClear(plainClearInterval as (timer: never) => void),
  });
  performance.now = () => readMs() - (contexts.getStore()?.lagMs() ?? 0);
}

/** Runs code that belongs to no process, such as the network's. */
export function runOutside<T>(code: () => T): T {
  return contexts.run(undefined, code);
}

/** Creates the clock of a process that runs. */
export function createProcessClock() {
  let lagMs = 0;
  let isFrozen = false;
  /** What happens when the process wakes, in order. */
  const waiting: (() => void)[] = [];

  const waitAwake = async () => {
    while (isFrozen) {
      await new Promise<void>((resolve) => {
        waiting.push(resolve);
      });
    }
  };
  const readMs = () => runOutside(() => performance.now()) - lagMs;
  const host: TimerHost = {
    lagMs: () => lagMs,
    addTimer: (handler, ms, isRepeated) => {
      let isOver = false;
      let dueMs = readMs() + ms;
      const startTimer = () =>
        runOutside(() => setTimeout(() => handleDue(), Math.max(0, Math.ceil(dueMs - readMs()))));
      const handleDue = () => {
        if (isOver) return;
        if (isFrozen) waiting.push(handleDue);
        else if (dueMs - readMs() > EARLY_MS) startTimer();
        else {
          if (isRepeated) {
            dueMs = readMs() + ms;
            startTimer();
          } else isOver = true;
          contexts.run(host, handler);
        }
      };
      const timer: ProcessTimer = {
        unref: () => timer,
        ref: () => timer,
        cancel: () => {
          isOver = true;
        },
      };
      timers.add(timer);
      startTimer();
      return timer;
    },
  };
  return {
    /** Runs code as the process's; only while it is awake. */
    run: <T>(code: () => T): T => contexts.run(host, code),
    /** Resolves once the process is awake. */
    waitAwake,
    /** Calls the process from outside, once it is awake. */
    call: async <T>(code: () => T | Promise<T>): Promise<T> => {
      await waitAwake();
      return contexts.run(host, code);
    },
    /** Freezes it for a time; `isClockStanding`: its monotonic clock does not count that time. */
    freeze: async (ms: number, isClockStanding: boolean) => {
      if (isFrozen) return;
      isFrozen = true;
      await runOutside(
        () =>
          new Promise<void>((resolve) => {
            setTimeout(resolve, ms);
          }),
      );
      isFrozen = false;
      if (isClockStanding) lagMs += ms;
      // Each in a turn of its own, as the runtime does it.
      waiting.splice(0).forEach((wake) => runOutside(() => setTimeout(wake, 0)));
    },
  };
}
