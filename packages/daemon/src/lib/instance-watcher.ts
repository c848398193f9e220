/** Watches the platform's instance list; the last list that could be read stays in use. */
import { BehaviorSubject, type Observable } from 'rxjs';
import type { Instance, InstanceList } from 'vanilladock';
import type { JsonLog } from './json-log.js';

/** A watcher of the instance list. */
export interface InstanceWatcher {
  readonly instances$: Observable<readonly Instance[]>;
  readonly getInstances: () => readonly Instance[];
  /** Monotonic time before the newest list was asked for, in milliseconds. */
  readonly getAskedAt: () => number;
  readonly stop: () => void;
}

const POLL_MS = 1_000;

/** Starts watching the instance list. */
export function startInstanceWatcher(list: InstanceList, log: JsonLog): InstanceWatcher {
  const instances = new BehaviorSubject<readonly Instance[]>([]);
  let isStopped = false;
  let timer: NodeJS.Timeout | undefined;
  let askedAtMs = -Infinity;
  const poll = async () => {
    const askingAtMs = performance.now();
    const result = await list.fetch();
    if (isStopped) return;
    if (result.isOk()) {
      askedAtMs = askingAtMs;
      if (result.value !== instances.value) instances.next(result.value);
    } else log.warn({ event: 'instances-unreadable', message: result.error.message });
    timer = setTimeout(() => void poll(), POLL_MS);
  };
  void poll();
  return {
    instances$: instances.asObservable(),
    getInstances: () => instances.value,
    getAskedAt: () => askedAtMs,
    stop: () => {
      isStopped = true;
      clearTimeout(timer);
    },
  };
}
