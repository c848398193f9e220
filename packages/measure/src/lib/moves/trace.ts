/**
 * A day of demand for one fleet: five services whose queues peak by turns at five times their mean
 * for some seconds and fall to a twentieth in between. Which service takes the next turn shifts over
 * the day, and now and then two peak at once.
 */
import type { Random } from 'vanilladock';

/** Seconds of the simulated day. */
export const DAY_S = 86_400;
export const SERVICES = 5;

const PEAK = 5;
const TROUGH = 1 / 20;
const LEAST_TURN_S = 4;
const MOST_TURN_S = 12;
const SECOND_PEAK_SHARE = 0.03;
const SHIFT = 0.8;

/** Demand by second and service, in instances' worth of work. */
export type Trace = readonly Float64Array[];

/** Picks the service of the next turn; the odds shift over the day. */
function pickService(random: Random, second: number): number {
  const odds = Array.from({ length: SERVICES }, (_, service) => {
    const phase = second / DAY_S + service / SERVICES;
    return 1 + SHIFT * Math.sin(2 * Math.PI * phase);
  });
  const total = odds.reduce((sum, value) => sum + value, 0);
  let left = random() * total;
  const index = odds.findIndex((value) => {
    left -= value;
    return left < 0;
  });
  return Math.max(0, index);
}

/** Draws a day of demand from the services' means. */
export function createTrace(means: readonly number[], random: Random): Trace {
  const trace = means.map((mean) => new Float64Array(DAY_S).fill(mean * TROUGH));
  let second = 0;
  while (second < DAY_S) {
    const length = LEAST_TURN_S + Math.floor(random() * (MOST_TURN_S - LEAST_TURN_S + 1));
    const end = Math.min(DAY_S, second + length);
    const services = new Set([pickService(random, second)]);
    if (random() < SECOND_PEAK_SHARE) services.add(pickService(random, second));
    for (const service of services) {
      trace[service]?.fill((means[service] ?? 0) * PEAK, second, end);
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
