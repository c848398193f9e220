/**
 * Admission of requests at one entry: a bounded number runs for each service, the others wait in a
 * bounded queue, and what cannot be served before its deadline is refused at once.
 */
import { Err, Ok, type Result } from 'ts-results-es';
import type { Urgency } from '../config/schema.js';
import type { Failure } from '../verdict.js';

/** What admission needs to know of a request. */
export interface AdmissionRequest {
  readonly id: string;
  readonly service: string;
  readonly team: string;
  readonly urgency: Urgency;
  /** On the monotonic clock, in milliseconds. */
  readonly deadlineAtMs: number;
}

/** A place in service; released exactly once. */
export interface Admittance {
  readonly release: () => void;
}

/** Admission of one entry. */
export interface Admission {
  /** Waits for a place; the signal gives the waiting place up. */
  readonly admit: (
    request: AdmissionRequest,
    signal: AbortSignal,
  ) => Promise<Result<Admittance, Failure>>;
  /** Sets how many requests of a service this entry may run at once. */
  readonly setCapacity: (service: string, running: number) => void;
  /** Sets how many requests of a service may wait. */
  readonly setQueueLength: (length: number) => void;
}

interface Waiter {
  readonly start: () => void;
}

interface ServiceQueue {
  capacity: number;
  running: number;
  readonly waiting: Set<Waiter>;
}

const DEFAULT_QUEUE_LENGTH = 100;

/** Builds the failure for a request that was given up while waiting. */
function makeFailure(code: 'queue-full' | 'deadline-passed' | 'caller-left'): Failure {
  const message = 'The request waited for a place and did not run; send it again later.';
  return { code, verdict: 'not-run', message, retryAfterMs: 1000 };
}

/** Creates the admission of one entry. */
export function createAdmission(): Admission {
  const queues = new Map<string, ServiceQueue>();
  let queueLength = DEFAULT_QUEUE_LENGTH;

  const getQueue = (service: string) => {
    const queue = queues.get(service) ?? { capacity: 0, running: 0, waiting: new Set() };
    queues.set(service, queue);
    return queue;
  };
  const startWaiters = (queue: ServiceQueue) => {
    for (const waiter of queue.waiting) {
      if (queue.running >= queue.capacity) return;
      queue.waiting.delete(waiter);
      waiter.start();
    }
  };
  const makeAdmittance = (queue: ServiceQueue): Admittance => {
    let isReleased = false;
    queue.running += 1;
    const release = () => {
      if (isReleased) return;
      isReleased = true;
      queue.running -= 1;
      startWaiters(queue);
    };
    return { release };
  };

  return {
    admit: (request, signal) => {
      const queue = getQueue(request.service);
      if (queue.running < queue.capacity) return Promise.resolve(Ok(makeAdmittance(queue)));
      if (queue.waiting.size >= queueLength) return Promise.resolve(Err(makeFailure('queue-full')));
      return new Promise((resolve) => {
        const waiter: Waiter = {
          start: () => {
            clearTimeout(timer);
            resolve(Ok(makeAdmittance(queue)));
          },
        };
        const giveUp = (code: 'deadline-passed' | 'caller-left') => {
          clearTimeout(timer);
          if (queue.waiting.delete(waiter)) resolve(Err(makeFailure(code)));
        };
        const waitMs = Math.max(0, request.deadlineAtMs - performance.now());
        const timer = setTimeout(() => giveUp('deadline-passed'), waitMs);
        signal.addEventListener('abort', () => giveUp('caller-left'), { once: true });
        queue.waiting.add(waiter);
      });
    },
    setCapacity: (service, running) => {
      const queue = getQueue(service);
      queue.capacity = running;
      startWaiters(queue);
    },
    setQueueLength: (length) => {
      queueLength = length;
    },
  };
}
