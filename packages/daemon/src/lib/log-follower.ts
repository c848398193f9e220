/**
 * Follows the log: reads records as they come, folds them, and shows each new state. While the log
 * cannot be read the last state stays in force and reading is tried again with a growing delay.
 */
import { BehaviorSubject, type Observable } from 'rxjs';
import { createConfigState, decodeRecord, foldConfig } from 'vanilladock';
import type { ConfigRecord, ConfigState, LogService, StoredRecord } from 'vanilladock';
import type { JsonLog } from './json-log.js';

/** A follower of the log. */
export interface LogFollower {
  readonly config$: Observable<ConfigState>;
  readonly getConfig: () => ConfigState;
  /** Offset after the last record that was folded. */
  readonly getNext: () => number;
  readonly stop: () => void;
}

const READ_WAIT_MS = 10_000;
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 2_000;

/** Starts following the log from its oldest kept record. */
export function startLogFollower(service: LogService, log: JsonLog): LogFollower {
  const config = new BehaviorSubject(createConfigState());
  let next = 0;
  let retryMs = MIN_RETRY_MS;
  let timer: NodeJS.Timeout | undefined;
  let isStopped = false;

  const applyRecord = ({ offset, text }: StoredRecord) => {
    const record = decodeRecord(text);
    if (!record?.kind.startsWith('config.')) return;
    const before = config.value;
    const after = foldConfig(before, { offset, record: record as ConfigRecord });
    if (after === before) return;
    config.next(after);
    if (after.version === before.version) return;
    log.info({ event: 'config-in-force', version: after.version, author: after.author });
  };
  const readOnce = async () => {
    const result = await service.read(next, READ_WAIT_MS);
    if (isStopped) return;
    if (result.isErr()) {
      log.warn({ event: 'log-unreadable', message: result.error.message, retryMs });
      timer = setTimeout(runLoop, retryMs);
      retryMs = Math.min(retryMs * 2, MAX_RETRY_MS);
      return;
    }
    retryMs = MIN_RETRY_MS;
    result.value.records.forEach(applyRecord);
    next = Math.max(next, (result.value.records.at(-1)?.offset ?? next - 1) + 1);
    timer = setTimeout(runLoop, 0);
  };
  const runLoop = () => void readOnce();

  runLoop();
  return {
    config$: config.asObservable(),
    getConfig: () => config.value,
    getNext: () => next,
    stop: () => {
      isStopped = true;
      clearTimeout(timer);
    },
  };
}
