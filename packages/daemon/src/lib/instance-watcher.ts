/** Polls the platform's instance list; while it cannot be read, the last list stays in use. */
import { BehaviorSubject, type Observable } from 'rxjs';
import type { Instance, InstanceList } from 'vanilladock';
import type { JsonLog } from './json-log.js';

/** A watcher of the instance list. */
export interface InstanceWatcher {
  /** Emits the newest list on subscription and whenever it changes. */
  readonly instances$: Observable<readonly Instance[]>;
  readonly getInstances: () => readonly Instance[];
  /** Returns the monotonic time just before the newest list was requested, in milliseconds. */
  readonly getRequestedAtMs: () => number;
  readonly stop: () => void;
}

const POLL_INTERVAL_MS = 2_000;

/** Starts polling the instance list. */
export function startInstanceWatcher(list: InstanceList, log: JsonLog): InstanceWatcher {
  const instances = new BehaviorSubject<readonly Instance[]>([]);
  let isStopped = false;
  let timer: NodeJS.Timeout | undefined;
  let requestedAtMs = -Infinity;
  const poll = async () => {
    const pollStartMs = performance.now();
    const result = await list.fetch();
    if (isStopped) return;
    if (result.isOk()) {
      requestedAtMs = pollStartMs;
      if (result.value !== instances.value) instances.next(result.value);
    } else log.warn({ event: 'instances-unreadable', message: result.error.message });
    timer = setTimeout(() => void poll(), POLL_INTERVAL_MS);
  };
  void poll();
  return {
    instances$: instances.asObservable(),
    getInstances: () => instances.value,
    getRequestedAtMs: () => requestedAtMs,
    stop: () => {
      isStopped = true;
      clearTimeout(timer);
    },
  };
}
