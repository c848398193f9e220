/** Replays of queues that peak by turns, on a fleet that lends its workers. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { createArrivalForecast } from '../../lib/lending/arrival-forecast.js';
import { makeTurns, runLendingReplay } from './lending-replay.js';

const test = suite('lending in peaks');

const TURN_MS = 8_500;
const NAMES = ['stalls', 'gates', 'kilns', 'cures'] as const;
const WORKERS = [65, 75, 85, 91] as const;
const PEAKS = [150, 170, 190, 200] as const;

const runDay = () =>
  runLendingReplay({
    pools: NAMES.map((name, index) => ({
      name,
      workers: WORKERS[index] ?? 0,
      arrivals: makeTurns(PEAKS[index] ?? 0, TURN_MS, index, NAMES.length),
    })),
    standbyWorkers: 62,
    lengthMs: NAMES.length * TURN_MS,
  });

test('nine tenths of the work of a queue that rises while others have fallen start on time', () => {
  const { onTimeShares } = runDay();
  NAMES.slice(1).forEach((name) => {
    const share = onTimeShares.get(name) ?? 0;
    assert.ok(share >= 0.9, `${name}: ${share}`);
  });
});

/** Feeds jobs of 40 core-seconds at a rate that changes with time; returns the forecast. */
const createFedForecast = (getJobsPerSecond: (atMs: number) => number, untilMs: number) => {
  const forecast = createArrivalForecast();
  for (let atMs = 0; atMs < untilMs; atMs += 10) {
    const jobs = getJobsPerSecond(atMs) / 100;
    forecast.add({ coreSeconds: 40 * jobs, jobs }, atMs);
  }
  return forecast;
};

test('expects a steady rise to go on until a lent instance is ready', () => {
  const forecast = createFedForecast(
    (atMs) => (atMs < 3_000 ? 2 : 2 + (atMs - 3_000) * 0.02),
    6_000,
  );
  const expected = forecast.getExpectedRate(6_000);
  assert.ok(expected > 40 * 75, `${expected} of ${40 * 106}`);
});

test('expects no more than arrives while the rate is steady or falls', () => {
  const steady = createFedForecast(() => 60, 6_000);
  assert.is(steady.getExpectedRate(6_000), steady.getRate(6_000));
  const falling = createFedForecast((atMs) => 60 - atMs * 0.01, 5_000);
  assert.is(falling.getExpectedRate(5_000), falling.getRate(5_000));
});

test('a single large job is no trend', () => {
  const forecast = createArrivalForecast();
  forecast.add({ coreSeconds: 4_000, jobs: 1 }, 1_000);
  assert.is(forecast.getExpectedRate(1_010), forecast.getRate(1_010));
});

test.run();
