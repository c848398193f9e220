/**
 * Follows the log: reads records as they come and hands them to the store. While the log cannot be read
 * the last state stays in force and reading is tried again with a growing, spread delay.
 */
import { BehaviorSubject, distinctUntilChanged, map, type Observable } from 'rxjs';
import { createRandom, type ConfigState, type LogService, type LogSlice } from 'vanilladock';
import { createBackoff } from './backoff.js';
import type { JsonLog } from './json-log.js';
import { readStart } from './log-reader.js';
import { createLogStore, type LogStore } from './log-store.js';

/** A follower of the log. */
export interface LogFollower {
  readonly store: LogStore;
  readonly config$: Observable<ConfigState>;
  readonly getConfig: () => ConfigState;
  /** Offset after the last record that was folded. */
  readonly getNext: () => number;
  /** The oldest offset that the log keeps, as far as is known. */
  readonly getFirst: () => number;
  /**
   * Since when the log has been read to its end without a failed read, on the monotonic clock in
   * milliseconds; undefined while it cannot be read.
   */
  readonly getReadableSince: () => number | undefined;
  /** Emits true once the end of the log has been reached. */
  readonly hasReachedEnd$: Observable<boolean>;
  readonly hasReachedEnd: () => boolean;
  readonly stop: () => void;
}

const READ_WAIT_MS = 10_000;
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 2_000;

/** Starts following the log. */
export function startLogFollower(
  service: LogService,
  log: JsonLog,
  random = createRandom(process.pid),
): LogFollower {
  const store = createLogStore(log);
  const backoff = createBackoff(MIN_RETRY_MS, MAX_RETRY_MS, random);
  let oldest = 0;
  let readableSinceMs: number | undefined;
  const hasReachedEnd = new BehaviorSubject(false);
  let isBehind = false;
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
  const readState = async () => {
    const read = await readStart(service);
    if (isStopped) return;
    if (read.isErr()) {
      scheduleRetry('log-unreadable', read.error.message);
      return;
    }
    hasStarted = true;
    store.takeState(read.value.state);
    store.applyRecords(read.value.records);
    handleEnd();
    timer = setTimeout(runLoop, 0);
  };
  const applySlice = ({ records, first, next }: LogSlice) => {
    oldest = first;
    if (first > store.getState().next) {
      isBehind = true;
      return;
    }
    backoff.reset();
    store.applyRecords(records);
    const known = store.getState().next;
    if (known > next) log.error({ event: 'log-went-back', known, next });
    if (known < next) return;
    handleEnd();
  };
  const readOnce = async () => {
    const limitMs = readableSinceMs === undefined ? 0 : READ_WAIT_MS;
    const slice = await service.read(store.getState().next, limitMs);
    if (isStopped) return;
    if (slice.isErr()) {
      scheduleRetry('log-unreadable', slice.error.message);
      return;
    }
    applySlice(slice.value);
    timer = setTimeout(runLoop, 0);
  };
  const runLoop = () => {
    const mustStart = !hasStarted && store.getState().next === 0;
    if (isBehind || mustStart) void readState();
    else void readOnce();
    isBehind = false;
  };

  runLoop();
  return {
    store,
    config$: store.state$.pipe(
      map(({ config }) => config),
      distinctUntilChanged(),
    ),
    getConfig: () => store.getState().config,
    getNext: () => store.getState().next,
    getFirst: () => oldest,
    getReadableSince: () => readableSinceMs,
    hasReachedEnd$: hasReachedEnd.asObservable(),
    hasReachedEnd: () => hasReachedEnd.value,
    stop: () => {
      isStopped = true;
      clearTimeout(timer);
    },
  };
}
