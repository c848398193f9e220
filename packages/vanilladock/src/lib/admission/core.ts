/**
 * Admission decisions of one entry, without clock or promises: service gates, team quotas and
 * counters. Tests, measurements and the daemon run the same decisions.
 */
import type { Random } from '../ports/random.js';
import { createQuotas } from './quota.js';
import {
  makeRefusal,
  type AdmissionRequest,
  type Arrival,
  type Effect,
  type Ticket,
} from './request.js';
import { createServiceGate, type GateCounts, type ServiceGate } from './service-gate.js';
import { createAdmissionStats, type AdmissionCount } from './stats.js';

/** Demand at one entry, as reported to its peers. */
export interface Demand {
  /**
   * Number of requests running and waiting, by service; a service that this entry has not used yet
   * is absent.
   */
  readonly services: ReadonlyMap<string, number>;
  /** Requests per second, admitted or not, by team; nearly idle teams are absent. */
  readonly teams: ReadonlyMap<string, number>;
}

/** Admission counts for status pages and metrics. */
export interface AdmissionReport {
  /** Current counts by service. */
  readonly services: ReadonlyMap<string, GateCounts>;
  /** Counters since the start, one for each team and urgency that had a request. */
  readonly teams: readonly AdmissionCount[];
}

/**
 * Admission decisions of one entry. Every operation returns the effects that the caller must apply
 * to requests. Times are on the monotonic clock, in milliseconds.
 */
export interface AdmissionCore {
  /**
   * Decides whether a new request starts, waits or is refused. It waits when the effects do not
   * mention its ticket; they may refuse other requests that it displaces.
   */
  readonly arrive: (request: AdmissionRequest, nowMs: number) => Arrival;
  /** Releases the slot of a running request and starts the next one; no effect in other states. */
  readonly release: (ticket: Ticket, nowMs: number) => readonly Effect[];
  /**
   * Cancels a waiting request whose caller disconnected: it is refused with `caller-left`. No
   * effect in other states.
   */
  readonly cancel: (ticket: Ticket, nowMs: number) => readonly Effect[];
  /** Refuses the waiting requests whose deadline has passed. */
  readonly expire: (nowMs: number) => readonly Effect[];
  /** Earliest deadline of a waiting request; undefined when none waits. */
  readonly getNextDeadlineMs: () => number | undefined;
  /**
   * Sets how many requests of a service may run concurrently, 0 until then; starts waiting requests
   * and refuses those that are now expected to miss their deadlines.
   */
  readonly setSlots: (service: string, slots: number, nowMs: number) => readonly Effect[];
  /** Sets the demand at the other entries, in requests per second by team, and their number. */
  readonly setPeerDemand: (teams: ReadonlyMap<string, number>, peers: number) => void;
  /** Gets the demand at this entry, as reported to its peers. */
  readonly getDemand: (nowMs: number) => Demand;
  /**
   * True for a second after each refusal at a service, except `quota-exceeded` and `caller-left`;
   * false for an unknown service.
   */
  readonly isShedding: (service: string, nowMs: number) => boolean;
  readonly getReport: (nowMs: number) => AdmissionReport;
}

/** Creates the admission decisions of one entry. */
export function createAdmissionCore(random: Random): AdmissionCore {
  const gates = new Map<string, ServiceGate>();
  const quotas = createQuotas();
  const stats = createAdmissionStats();

  const getGate = (service: string) => {
    const gate = gates.get(service) ?? createServiceGate(random);
    gates.set(service, gate);
    return gate;
  };
  const observeEffects = (effects: readonly Effect[]) => {
    effects.forEach((effect) => {
      stats.observe(effect);
      if (effect.kind === 'refuse' && effect.failure.code !== 'quota-exceeded') {
        quotas.release(effect.ticket.request.team);
      }
    });
    return effects;
  };
  const refuseQuota = (request: AdmissionRequest, retryAfterMs: number): Arrival => {
    const ticket = getGate(request.service).makeEndedTicket(request);
    const failure = makeRefusal('quota-exceeded', retryAfterMs);
    return { ticket, effects: [{ kind: 'refuse', ticket, failure }] };
  };

  return {
    arrive: (request, nowMs) => {
      const { team, service, values } = request;
      const waitMs = quotas.take(team, values.quotaPerSecond, nowMs);
      const arrival =
        waitMs === undefined
          ? getGate(service).arrive(request, nowMs)
          : refuseQuota(request, waitMs);
      observeEffects(arrival.effects);
      return arrival;
    },
    release: (ticket, nowMs) =>
      observeEffects(getGate(ticket.request.service).release(ticket, nowMs)),
    cancel: (ticket, nowMs) =>
      observeEffects(getGate(ticket.request.service).cancel(ticket, nowMs)),
    expire: (nowMs) => observeEffects([...gates.values()].flatMap((gate) => gate.expire(nowMs))),
    getNextDeadlineMs: () =>
      [...gates.values()].reduce<number | undefined>((earliestMs, gate) => {
        const deadlineMs = gate.getNextDeadlineMs();
        return deadlineMs === undefined || (earliestMs ?? Infinity) <= deadlineMs
          ? earliestMs
          : deadlineMs;
      }, undefined),
    setSlots: (service, slots, nowMs) => observeEffects(getGate(service).setSlots(slots, nowMs)),
    setPeerDemand: quotas.setPeerDemand,
    getDemand: (nowMs) => ({
      services: new Map(
        [...gates].map(([service, gate]) => {
          const { running, waiting } = gate.getCounts(nowMs);
          return [service, running + waiting] as const;
        }),
      ),
      teams: quotas.listDemand(nowMs),
    }),
    isShedding: (service, nowMs) => gates.get(service)?.isShedding(nowMs) ?? false,
    getReport: (nowMs) => ({
      services: new Map([...gates].map(([service, gate]) => [service, gate.getCounts(nowMs)])),
      teams: stats.listCounts(),
    }),
  };
}
