/**
 * Admission of one entry without clock or promises: gates of services, quotas of teams and counters.
 * Tests, measurements and the daemon drive the same decisions.
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

/** Demand at one entry, as told to its peers. */
export interface Demand {
  /** Requests running and waiting, by service. */
  readonly services: ReadonlyMap<string, number>;
  /** Requests a second asked, by team. */
  readonly teams: ReadonlyMap<string, number>;
}

/** Admission counts for status pages and metrics. */
export interface AdmissionReport {
  readonly services: ReadonlyMap<string, GateCounts>;
  readonly teams: readonly AdmissionCount[];
}

/** Admission decisions of one entry; every change returns what it means for requests. */
export interface AdmissionCore {
  readonly arrive: (request: AdmissionRequest, nowMs: number) => Arrival;
  readonly release: (ticket: Ticket, nowMs: number) => readonly Effect[];
  readonly leave: (ticket: Ticket, nowMs: number) => readonly Effect[];
  readonly expire: (nowMs: number) => readonly Effect[];
  readonly getNextDeadlineMs: () => number | undefined;
  readonly setPlaces: (service: string, places: number, nowMs: number) => readonly Effect[];
  readonly setPeerDemand: (teams: ReadonlyMap<string, number>, peers: number) => void;
  readonly getDemand: (nowMs: number) => Demand;
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
        quotas.giveBack(effect.ticket.request.team);
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
    leave: (ticket, nowMs) => observeEffects(getGate(ticket.request.service).leave(ticket, nowMs)),
    expire: (nowMs) => observeEffects([...gates.values()].flatMap((gate) => gate.expire(nowMs))),
    getNextDeadlineMs: () =>
      [...gates.values()].reduce<number | undefined>((earliest, gate) => {
        const next = gate.getNextDeadlineMs();
        return next === undefined || (earliest ?? Infinity) <= next ? earliest : next;
      }, undefined),
    setPlaces: (service, places, nowMs) =>
      observeEffects(getGate(service).setPlaces(places, nowMs)),
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
