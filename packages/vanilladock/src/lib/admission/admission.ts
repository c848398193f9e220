/**
 * Admission of requests at one entry: a bounded number runs for each service, the others wait in a
 * bounded, weighted fair queue, and what cannot be served before its deadline is refused at once with
 * the time at which to come back. Joins the decisions of the core to promises, timers and the clock.
 */
import { Err, Ok, type Result } from 'ts-results-es';
import { createRandom, type Random } from '../ports/random.js';
import type { Failure } from '../verdict.js';
import { createAdmissionCore, type AdmissionReport, type Demand } from './core.js';
import type { AdmissionRequest, Effect, Ticket } from './request.js';

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
  /** Takes in what the other entries are asked, in requests a second by team, and their number. */
  readonly setPeerDemand: (teams: ReadonlyMap<string, number>, peers: number) => void;
  /** What this entry is asked, as told to its peers. */
  readonly getDemand: () => Demand;
  /** True while a service refuses callers for want of capacity; nothing is retried meanwhile. */
  readonly isShedding: (service: string) => boolean;
  readonly getStats: () => AdmissionReport;
}

type Settle = (result: Result<Admittance, Failure>) => void;

const DEFAULT_SEED = 1;

/** Creates the admission of one entry. */
export function createAdmission(random: Random = createRandom(DEFAULT_SEED)): Admission {
  const core = createAdmissionCore(random);
  const settles = new Map<Ticket, Settle>();
  let timer: NodeJS.Timeout | undefined;
  let timerAtMs = Infinity;

  const makeAdmittance = (ticket: Ticket): Admittance => ({
    release: () => applyEffects(core.release(ticket, performance.now())),
  });
  const applyEffect = (effect: Effect) => {
    const settle = settles.get(effect.ticket);
    settles.delete(effect.ticket);
    switch (effect.kind) {
      case 'start':
        return settle?.(Ok(makeAdmittance(effect.ticket)));
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
    const nextMs = core.getNextDeadlineMs();
    if (nextMs === undefined || nextMs >= timerAtMs) return;
    clearTimeout(timer);
    timerAtMs = nextMs;
    timer = setTimeout(handleTimer, Math.max(0, nextMs - performance.now()));
    timer.unref();
  };

  return {
    admit: (request, signal) =>
      new Promise((resolve) => {
        const { ticket, effects } = core.arrive(request, performance.now());
        const handleAbort = () => applyEffects(core.leave(ticket, performance.now()));
        settles.set(ticket, (result) => {
          signal.removeEventListener('abort', handleAbort);
          resolve(result);
        });
        applyEffects(effects);
        if (ticket.state !== 'waiting') return;
        if (signal.aborted) handleAbort();
        else signal.addEventListener('abort', handleAbort, { once: true });
        scheduleTimer();
      }),
    setCapacity: (service, running) =>
      applyEffects(core.setPlaces(service, running, performance.now())),
    setPeerDemand: core.setPeerDemand,
    getDemand: () => core.getDemand(performance.now()),
    isShedding: (service) => core.isShedding(service, performance.now()),
    getStats: () => core.getReport(performance.now()),
  };
}
