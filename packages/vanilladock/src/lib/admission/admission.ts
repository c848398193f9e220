/**
 * Admission control of one entry. A bounded number of requests runs for each service; the others
 * wait in a bounded, weighted fair queue. A request that cannot be served before its deadline is
 * refused immediately, with the time after which to retry. This module connects the decisions of
 * the core to promises, timers and the clock.
 */
import { Err, Ok, type Result } from 'ts-results-es';
import { createRandom, type Random } from '../ports/random.js';
import type { Failure } from '../verdict.js';
import { createAdmissionCore, type AdmissionReport, type Demand } from './core.js';
import type { AdmissionRequest, Effect, Ticket } from './request.js';

/** A concurrency slot held by a running request; releasing it again has no effect. */
export interface ServiceSlot {
  readonly release: () => void;
}

/** Admission control of one entry. */
export interface Admission {
  /**
   * Waits for a slot, which the caller must release. An error is a refusal: the request did not
   * run. Aborting the signal while waiting gives the error `caller-left`; an abort does not take
   * back a slot.
   */
  readonly admit: (
    request: AdmissionRequest,
    signal: AbortSignal,
  ) => Promise<Result<ServiceSlot, Failure>>;
  /**
   * Sets how many requests of a service this entry may run concurrently; none until this is called.
   * Running requests are never stopped.
   */
  readonly setCapacity: (service: string, slots: number) => void;
  /** Sets the demand at the other entries, in requests per second by team, and their number. */
  readonly setPeerDemand: (teams: ReadonlyMap<string, number>, peers: number) => void;
  /** Gets the demand at this entry, as reported to its peers. */
  readonly getDemand: () => Demand;
  /**
   * True for a second after each refusal at a service, except `quota-exceeded` and `caller-left`;
   * requests to it are not retried meanwhile. False for an unknown service.
   */
  readonly isShedding: (service: string) => boolean;
  /** Gets the current counts by service and the counters by team. */
  readonly getStats: () => AdmissionReport;
}

type SettleAdmission = (result: Result<ServiceSlot, Failure>) => void;

const DEFAULT_SEED = 1;

/** Creates the admission control of one entry; the random source spreads retry times. */
export function createAdmission(random: Random = createRandom(DEFAULT_SEED)): Admission {
  const core = createAdmissionCore(random);
  const pendingAdmissions = new Map<Ticket, SettleAdmission>();
  let timer: NodeJS.Timeout | undefined;
  let timerAtMs = Infinity;

  const makeServiceSlot = (ticket: Ticket): ServiceSlot => ({
    release: () => applyEffects(core.release(ticket, performance.now())),
  });
  const applyEffect = (effect: Effect) => {
    const settle = pendingAdmissions.get(effect.ticket);
    pendingAdmissions.delete(effect.ticket);
    switch (effect.kind) {
      case 'start':
        return settle?.(Ok(makeServiceSlot(effect.ticket)));
      case 'refuse':
        return settle?.(Err(effect.failure));
      default:
        return effect satisfies never;
    }
  };
  const applyEffects = (effects: readonly Effect[]) => {
    effects.forEach(applyEffect);
  };
  const handleTimer = () => {
    timerAtMs = Infinity;
    applyEffects(core.expire(performance.now()));
    scheduleTimer();
  };
  const scheduleTimer = () => {
    const nextDeadlineMs = core.getNextDeadlineMs();
    if (nextDeadlineMs === undefined || nextDeadlineMs >= timerAtMs) return;
    clearTimeout(timer);
    timerAtMs = nextDeadlineMs;
    timer = setTimeout(handleTimer, Math.max(0, nextDeadlineMs - performance.now()));
    timer.unref();
  };

  return {
    admit: (request, signal) =>
      new Promise((resolve) => {
        const { ticket, effects } = core.arrive(request, performance.now());
        const handleAbort = () => applyEffects(core.cancel(ticket, performance.now()));
        pendingAdmissions.set(ticket, (result) => {
          signal.removeEventListener('abort', handleAbort);
          resolve(result);
        });
        applyEffects(effects);
        if (ticket.state !== 'waiting') return;
        if (signal.aborted) handleAbort();
        else signal.addEventListener('abort', handleAbort, { once: true });
        scheduleTimer();
      }),
    setCapacity: (service, slots) => applyEffects(core.setSlots(service, slots, performance.now())),
    setPeerDemand: core.setPeerDemand,
    getDemand: () => core.getDemand(performance.now()),
    isShedding: (service) => core.isShedding(service, performance.now()),
    getStats: () => core.getReport(performance.now()),
  };
}
