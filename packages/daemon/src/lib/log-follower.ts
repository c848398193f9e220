/**
 * Follows the log: reads new records and applies them to the store. While the log cannot be read,
 * the last state stays in force and the read is retried with a randomised exponential backoff.
 */
import { BehaviorSubject, distinctUntilChanged, map, type Observable } from 'rxjs';
import { createRandom, type ConfigState, type LogService, type LogSlice } from 'vanilladock';
import { createBackoff } from './backoff.js';
import type { JsonLog } from './json-log.js';
import { readStart } from './log-reader.js';
import { createLogStore, type LogStore } from './log-store.js';

/** A running follower of the log. */
export interface LogFollower {
  /** The store that the records are applied to. */
  readonly store: LogStore;
  /** Emits the configuration state on subscription and whenever it changes. */
  readonly config$: Observable<ConfigState>;
  readonly getConfig: () => ConfigState;
  /** Returns the offset after the last folded record. */
  readonly getNextOffset: () => number;
  /** Returns the oldest offset that the log retained at the last read. */
  readonly getOldestOffset: () => number;
  /**
   * Returns the monotonic time, in milliseconds, since which the log has been read to its end
   * without a failed read; undefined while it cannot be read.
   */
  readonly getReadableSince: () => number | undefined;
  /** Emits whether the end of the log has been reached yet, on subscription and at the change. */
  readonly hasReachedEnd$: Observable<boolean>;
  readonly hasReachedEnd: () => boolean;
  readonly stop: () => void;
}

const READ_WAIT_MS = 10_000;
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 2_000;

/**
 * Starts following the log, from its newest complete snapshot or from its beginning. `random`
 * randomizes the delays of retries.
 */
export function startLogFollower(
  service: LogService,
  log: JsonLog,
  random = createRandom(process.pid),
): LogFollower {
  const store = createLogStore(log);
  const backoff = createBackoff(MIN_RETRY_MS, MAX_RETRY_MS, random);
  let oldestOffset = 0;
  let readableSinceMs: number | undefined;
  const hasReachedEnd = new BehaviorSubject(false);
  let isBehindRetention = false;
  let hasStarted = false;
  let timer: NodeJS.Timeout | undefined;
  let isStopped = false;

  const scheduleRetry = (event: string, message: string) => {
    readableSinceMs = undefined;
    const retryMs = Math.round(backoff.takeDelay());
    log.warn({ event, message, retryMs });
    timer = setTimeout(runLoop, retryMs);
  };
  const handleEnd = () => {
    readableSinceMs ??= performance.now();
    if (!hasReachedEnd.value) hasReachedEnd.next(true);
  };
  const readStartState = async () => {
    const read = await readStart(service);
    if (isStopped) return;
    if (read.isErr()) {
      scheduleRetry('log-unreadable', read.error.message);
      return;
    }
    hasStarted = true;
    store.applyState(read.value.state);
    store.applyRecords(read.value.records);
    handleEnd();
    timer = setTimeout(runLoop, 0);
  };
  const applySlice = ({ records, first, next }: LogSlice) => {
    oldestOffset = first;
    if (first > store.getState().next) {
      isBehindRetention = true;
      return;
    }
    backoff.reset();
    store.applyRecords(records);
    const knownNext = store.getState().next;
    if (knownNext > next) log.error({ event: 'log-went-back', known: knownNext, next });
    if (knownNext < next) return;
    handleEnd();
  };
  const readNextSlice = async () => {
    const waitLimitMs = readableSinceMs === undefined ? 0 : READ_WAIT_MS;
    const slice = await service.read(store.getState().next, waitLimitMs);
    if (isStopped) return;
    if (slice.isErr()) {
      scheduleRetry('log-unreadable', slice.error.message);
      return;
    }
    applySlice(slice.value);
    timer = setTimeout(runLoop, 0);
  };
  const runLoop = () => {
    const needsStartState = !hasStarted && store.getState().next === 0;
    if (isBehindRetention || needsStartState) void readStartState();
    else void readNextSlice();
    isBehindRetention = false;
  };

  runLoop();
  return {
    store,
    config$: store.state$.pipe(
      map(({ config }) => config),
      distinctUntilChanged(),
    ),
    getConfig: () => store.getState().config,
    getNextOffset: () => store.getState().next,
    getOldestOffset: () => oldestOffset,
    getReadableSince: () => readableSinceMs,
    hasReachedEnd$: hasReachedEnd.asObservable(),
    hasReachedEnd: () => hasReachedEnd.value,
    stop: () => {
      isStopped = true;
      clearTimeout(timer);
    },
  };
}
