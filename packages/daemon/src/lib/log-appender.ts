/**
 * Appends records in batches: one append at a time, at most one in an interval, so that many small
 * writers of an entry cost the log a bounded rate. After a failure the interval grows, spread at random,
 * and records that cannot be sent within a limit are given back as refused.
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

/** A batching appender. */
export interface LogAppender {
  /**
   * Appends records in order, in one batch; resolves to the offset of the first one. `refused`: they
   * are not in the log. `unavailable`: they may be, which reading the log will show.
   */
  readonly append: (records: readonly LogRecord[]) => Promise<Result<number, LogError>>;
  /** Appends sent so far. */
  readonly countAppends: () => number;
  /** Refuses what waits. */
  readonly stop: () => void;
}

/** Shortest time between two appends of one entry. */
export const APPEND_INTERVAL_MS = 100;

const MAX_BACKOFF_MS = 5_000;
const MAX_WAIT_MS = 3_000;
const MAX_BATCH_LENGTH = 262_144;
const MAX_WAITING = 10_000;

interface Waiting {
  readonly texts: readonly string[];
  readonly sinceMs: number;
  readonly resolve: (result: Result<number, LogError>) => void;
}

/** Creates an appender on a log service. */
export function createLogAppender(service: LogService, random: Random): LogAppender {
  const backoff = createBackoff(APPEND_INTERVAL_MS, MAX_BACKOFF_MS, random);
  let waiting: Waiting[] = [];
  let appends = 0;
  let timer: NodeJS.Timeout | undefined;
  let isSending = false;
  let nextAtMs = 0;

  const refuse = (message: string) => Err({ kind: 'refused', message } as const);
  const dropLate = () => {
    const limitMs = performance.now() - MAX_WAIT_MS;
    const late = waiting.filter(({ sinceMs }) => sinceMs < limitMs);
    waiting = waiting.filter(({ sinceMs }) => sinceMs >= limitMs);
    late.forEach(({ resolve }) => resolve(refuse('the log could not be reached in time')));
  };
  const takeBatch = (): readonly Waiting[] => {
    let length = 0;
    const end = waiting.findIndex(({ texts }, index) => {
      length += texts.reduce((sum, text) => sum + text.length, 0);
      return index > 0 && length > MAX_BATCH_LENGTH;
    });
    return waiting.splice(0, end < 0 ? waiting.length : end);
  };
  const giveOffsets = (batch: readonly Waiting[], result: Result<number, LogError>) => {
    let offset = 0;
    batch.forEach(({ texts, resolve }) => {
      const shift = offset;
      resolve(result.map((first) => first + shift));
      offset += texts.length;
    });
  };
  const sendBatch = async () => {
    dropLate();
    const batch = takeBatch();
    if (batch.length === 0) return;
    isSending = true;
    appends += 1;
    const result = await service.append(batch.flatMap(({ texts }) => texts));
    isSending = false;
    if (result.isOk()) backoff.reset();
    const pauseMs = result.isOk() ? APPEND_INTERVAL_MS : backoff.takeDelay();
    nextAtMs = performance.now() + pauseMs;
    giveOffsets(batch, result);
    schedule();
  };
  const schedule = () => {
    if (timer !== undefined || isSending || waiting.length === 0) return;
    const delayMs = Math.max(0, nextAtMs - performance.now());
    timer = setTimeout(() => {
      timer = undefined;
      void sendBatch();
    }, delayMs);
  };
  return {
    append: (records) =>
      new Promise((resolve) => {
        if (records.length === 0) resolve(Ok(-1));
        else if (waiting.length >= MAX_WAITING) resolve(refuse('too many records wait'));
        else {
          waiting.push({ texts: records.map(encodeRecord), sinceMs: performance.now(), resolve });
          schedule();
        }
      }),
    countAppends: () => appends,
    stop: () => {
      clearTimeout(timer);
      waiting.splice(0).forEach(({ resolve }) => resolve(refuse('the entry stops')));
    },
  };
}
