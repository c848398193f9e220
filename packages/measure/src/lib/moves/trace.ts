/**
 * A day of demand for one fleet: five services peak in turn at five times their mean, for 4 to 12 s
 * each, and are at a twentieth of their mean in between. The probability that a service peaks next
 * changes over the day, and occasionally two peak at once.
 */
import type { Random } from 'vanilladock';

/** Seconds of the simulated day. */
export const DAY_S = 86_400;
/** Number of services. */
export const SERVICES = 5;

const PEAK_FACTOR = 5;
const TROUGH_FACTOR = 1 / 20;
const MIN_PEAK_S = 4;
const MAX_PEAK_S = 12;
const SECOND_PEAK_PROBABILITY = 0.03;
const ODDS_AMPLITUDE = 0.8;

/** Demand of each service by second, in instances' worth of work. */
export type Trace = readonly Float64Array[];

/** Picks the service that peaks next; the odds change over the day. */
function pickService(random: Random, second: number): number {
  const odds = Array.from({ length: SERVICES }, (_, service) => {
    const phase = second / DAY_S + service / SERVICES;
    return 1 + ODDS_AMPLITUDE * Math.sin(2 * Math.PI * phase);
  });
  const total = odds.reduce((sum, value) => sum + value, 0);
  let remaining = random() * total;
  const index = odds.findIndex((value) => {
    remaining -= value;
    return remaining < 0;
  });
  return Math.max(0, index);
}

/** Draws a day of demand from the services' means. */
export function createTrace(means: readonly number[], random: Random): Trace {
  const trace = means.map((mean) => new Float64Array(DAY_S).fill(mean * TROUGH_FACTOR));
  let second = 0;
  while (second < DAY_S) {
    const length = MIN_PEAK_S + Math.floor(random() * (MAX_PEAK_S - MIN_PEAK_S + 1));
    const end = Math.min(DAY_S, second + length);
    const services = new Set([pickService(random, second)]);
    if (random() < SECOND_PEAK_PROBABILITY) services.add(pickService(random, second));
    for (const service of services) {
      trace[service]?.fill((means[service] ?? 0) * PEAK_FACTOR, second, end);
    }
    second = end;
  }
  return trace;
}

/** Sums the mean demand of all services. */
export function sumMeans(trace: Trace): number {
  return trace.reduce(
    (sum, demand) => sum + demand.reduce((total, value) => total + value, 0) / DAY_S,
    0,
  );
}
