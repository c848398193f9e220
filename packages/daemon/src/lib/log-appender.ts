/**
 * Appends records to the log in batches: one append at a time and at most one in an interval, so
 * that the many small writers of an entry cause a bounded rate of appends. After a failure the
 * interval grows with random jitter, and records that cannot be sent within a limit are refused.
 */
import { Err, Ok, type Result } from 'ts-results-es';
import {
  encodeRecord,
  type LogError,
  type LogRecord,
  type LogService,
  type Random,
} from 'vanilladock';
import { createBackoff } from './backoff.js';

/** Appends records to the log in batches. */
export interface LogAppender {
  /**
   * Appends records in order, in one batch; resolves to the offset of the first. The error
   * `refused` means that they are not in the log; `unavailable` means that they may be; only
   * reading the log back shows whether they are.
   */
  readonly append: (records: readonly LogRecord[]) => Promise<Result<number, LogError>>;
  /** Counts the appends sent so far. */
  readonly countAppends: () => number;
  /** Stops sending and refuses all pending records. */
  readonly stop: () => void;
}

/** Shortest time between two appends of one entry, in milliseconds. */
export const APPEND_INTERVAL_MS = 100;

const MAX_BACKOFF_MS = 5_000;
const MAX_WAIT_MS = 3_000;
const MAX_BATCH_CHARS = 262_144;
const MAX_PENDING_APPENDS = 10_000;

/** Records that wait to be sent. */
interface PendingAppend {
  readonly texts: readonly string[];
  readonly queuedAtMs: number;
  readonly resolve: (result: Result<number, LogError>) => void;
}

/** Creates an appender to a log service. */
export function createLogAppender(service: LogService, random: Random): LogAppender {
  const backoff = createBackoff(APPEND_INTERVAL_MS, MAX_BACKOFF_MS, random);
  let pending: PendingAppend[] = [];
  let appends = 0;
  let timer: NodeJS.Timeout | undefined;
  let isSending = false;
  let earliestSendMs = 0;

  const refuse = (message: string) => Err({ kind: 'refused', message } as const);
  const refuseExpired = () => {
    const oldestAllowedMs = performance.now() - MAX_WAIT_MS;
    const expired = pending.filter(({ queuedAtMs }) => queuedAtMs < oldestAllowedMs);
    pending = pending.filter(({ queuedAtMs }) => queuedAtMs >= oldestAllowedMs);
    expired.forEach(({ resolve }) => resolve(refuse('the log could not be reached in time')));
  };
  const takeBatch = (): readonly PendingAppend[] => {
    let length = 0;
    const end = pending.findIndex(({ texts }, index) => {
      length += texts.reduce((sum, text) => sum + text.length, 0);
      return index > 0 && length > MAX_BATCH_CHARS;
    });
    return pending.splice(0, end < 0 ? pending.length : end);
  };
  const resolveBatch = (batch: readonly PendingAppend[], result: Result<number, LogError>) => {
    let offset = 0;
    batch.forEach(({ texts, resolve }) => {
      const startOffset = offset;
      resolve(result.map((first) => first + startOffset));
      offset += texts.length;
    });
  };
  const sendBatch = async () => {
    refuseExpired();
    const batch = takeBatch();
    if (batch.length === 0) return;
    isSending = true;
    appends += 1;
    const result = await service.append(batch.flatMap(({ texts }) => texts));
    isSending = false;
    if (result.isOk()) backoff.reset();
    const pauseMs = result.isOk() ? APPEND_INTERVAL_MS : backoff.takeDelay();
    earliestSendMs = performance.now() + pauseMs;
    resolveBatch(batch, result);
    schedule();
  };
  const schedule = () => {
    if (timer !== undefined || isSending || pending.length === 0) return;
    const delayMs = Math.max(0, earliestSendMs - performance.now());
    timer = setTimeout(() => {
      timer = undefined;
      void sendBatch();
    }, delayMs);
  };
  return {
    append: (records) =>
      new Promise((resolve) => {
        if (records.length === 0) resolve(Ok(-1));
        else if (pending.length >= MAX_PENDING_APPENDS) resolve(refuse('too many records wait'));
        else {
          pending.push({
            texts: records.map(encodeRecord),
            queuedAtMs: performance.now(),
            resolve,
          });
          schedule();
        }
      }),
    countAppends: () => appends,
    stop: () => {
      clearTimeout(timer);
      pending.splice(0).forEach(({ resolve }) => resolve(refuse('the entry stops')));
    },
  };
}
