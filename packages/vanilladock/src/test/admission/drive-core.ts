/** Runs the admission core in simulated time: arrivals, a fixed service time, scheduled retries. */
import { Heap } from 'mnemonist';
import { createAdmissionCore, type AdmissionCore } from '../../lib/admission/core.js';
import type { AdmissionRequest, Effect } from '../../lib/admission/request.js';
import { createRandom } from '../../lib/ports/random.js';
import type { Failure } from '../../lib/verdict.js';

export const VALUES = { weight: 1, quotaPerSecond: 1e6, queueLength: 200 } as const;

export const makeRequest = (changes: Partial<AdmissionRequest>): AdmissionRequest => ({
  id: 'r',
  service: 's',
  team: 'a',
  urgency: 'quick',
  deadlineAtMs: 10_000,
  values: VALUES,
  ...changes,
});

interface Event {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

export interface Served {
  readonly request: AdmissionRequest;
  readonly startedAtMs: number;
}

export interface Refused {
  readonly request: AdmissionRequest;
  readonly atMs: number;
  readonly failure: Failure;
}

export const createDriver = (serviceMs: number, seed = 1) => {
  const core: AdmissionCore = createAdmissionCore(createRandom(seed));
  const events = new Heap<Event>((a, b) => a.atMs - b.atMs || a.order - b.order);
  const served: Served[] = [];
  const refused: Refused[] = [];
  let handleRefusal: (refusal: Refused) => void = () => {};
  let order = 0;
  let nowMs = 0;
  const schedule = (atMs: number, run: () => void) => {
    order += 1;
    events.push({ atMs, order, run });
  };
  const applyEffects = (effects: readonly Effect[]) =>
    effects.forEach((effect) => {
      const { request } = effect.ticket;
      if (effect.kind === 'start') {
        served.push({ request, startedAtMs: nowMs });
        schedule(nowMs + serviceMs, () => applyEffects(core.release(effect.ticket, nowMs)));
      } else {
        const refusal = { request, atMs: nowMs, failure: effect.failure };
        refused.push(refusal);
        handleRefusal(refusal);
      }
    });
  const submit = (request: AdmissionRequest) => {
    const { ticket, effects } = core.arrive(request, nowMs);
    applyEffects(effects);
    return ticket;
  };
  const runUntil = (endMs: number) => {
    for (;;) {
      const deadlineAtMs = core.getNextDeadlineMs() ?? Infinity;
      const event = events.peek();
      const nextMs = Math.min(deadlineAtMs, event?.atMs ?? Infinity);
      if (nextMs > endMs) break;
      nowMs = Math.max(nowMs, nextMs);
      if (event !== undefined && event.atMs <= deadlineAtMs) events.pop()?.run();
      else applyEffects(core.expire(nowMs));
    }
    nowMs = endMs;
  };
  return {
    core,
    served,
    refused,
    arrive: submit,
    applyEffects,
    schedule,
    runUntil,
    getNowMs: () => nowMs,
    setSlots: (slots: number, service = 's') => applyEffects(core.setSlots(service, slots, nowMs)),
    onRefusal: (handle: (refusal: Refused) => void) => {
      handleRefusal = handle;
    },
  };
};

/** Computes Jain's index of fairness: 1 when all values are equal, or all are 0. */
export const computeJainIndex = (values: readonly number[]) => {
  const sum = values.reduce((total, value) => total + value, 0);
  const squares = values.reduce((total, value) => total + value * value, 0);
  return squares === 0 ? 1 : (sum * sum) / (values.length * squares);
};
