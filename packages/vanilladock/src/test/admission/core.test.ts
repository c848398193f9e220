/** Tests of admission decisions in simulated time: overload, a burst after a power cut, quotas. */
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import type { AdmissionRequest } from '../../lib/admission/request.js';
import { createRandom } from '../../lib/ports/random.js';
import { URGENCIES, type Urgency } from '../../lib/config/schema.js';
import { computeJainIndex, createDriver, makeRequest, VALUES } from './drive-core.js';

const PROPERTY = { seed: 7, numRuns: 60 };
const DEADLINE_MS = 2_000;
const SERVICE_MS = 40;
const SLOTS = 8;
const RATE_PER_S = (SLOTS * 1_000) / SERVICE_MS;

type Driver = ReturnType<typeof createDriver>;

/** Schedules evenly spaced arrivals, with some jitter, until a time. */
const scheduleLoad = (
  driver: Driver,
  {
    perSecond,
    endMs,
    ...changes
  }: { perSecond: number; endMs: number } & Partial<AdmissionRequest>,
) => {
  const random = createRandom(perSecond);
  for (let index = 0; index < (perSecond * endMs) / 1_000; index += 1) {
    const atMs = (index * 1_000) / perSecond + random();
    driver.schedule(atMs, () =>
      driver.arrive(makeRequest({ deadlineAtMs: atMs + DEADLINE_MS, ...changes })),
    );
  }
};

const countServed = (driver: Driver, isCounted: (request: AdmissionRequest) => boolean) =>
  driver.served.filter(({ request }) => isCounted(request)).length;

const test = suite('admission core');

const OTHER_LOAD: Readonly<Record<Urgency, number>> = { quick: 0.25, heavy: 0.2, patient: 0.15 };

URGENCIES.forEach((flooded) =>
  test(`a flood of ${flooded} work at 10 times capacity does not reduce the goodput of other urgencies`, () => {
    const driver = createDriver(SERVICE_MS);
    driver.setSlots(SLOTS);
    const endMs = 10_000;
    const others = URGENCIES.filter((urgency) => urgency !== flooded);
    others.forEach((urgency) =>
      scheduleLoad(driver, { urgency, perSecond: RATE_PER_S * OTHER_LOAD[urgency], endMs }),
    );
    scheduleLoad(driver, { urgency: flooded, team: 'b', perSecond: RATE_PER_S * 10, endMs });
    driver.runUntil(endMs + DEADLINE_MS);
    others.forEach((urgency) => {
      const offered = RATE_PER_S * OTHER_LOAD[urgency] * (endMs / 1_000);
      const kept = countServed(driver, (request) => request.urgency === urgency) / offered;
      assert.ok(kept >= 0.95, `${urgency} kept ${kept}`);
    });
    assert.ok(driver.served.length >= 0.95 * RATE_PER_S * (endMs / 1_000));
  }),
);

test('a flood from one team does not reduce the goodput of other teams of its urgency', () => {
  const driver = createDriver(SERVICE_MS);
  driver.setSlots(SLOTS);
  const teams = ['a', 'b', 'c', 'd', 'e'];
  const perSecond = RATE_PER_S * 0.1;
  teams.forEach((team) => scheduleLoad(driver, { team, perSecond, endMs: 8_000 }));
  scheduleLoad(driver, { team: 'flood', perSecond: RATE_PER_S * 10, endMs: 8_000 });
  driver.runUntil(10_000);
  teams.forEach((team) => {
    const kept = countServed(driver, (request) => request.team === team) / (perSecond * 8);
    assert.ok(kept >= 0.95, `${team} kept ${kept}`);
  });
});

test('callers that all arrive in the second after a power cut retry spread out and are served fairly', () => {
  const driver = createDriver(SERVICE_MS);
  driver.setSlots(SLOTS);
  const teams = Array.from({ length: 10 }, (_, index) => `team-${index}`);
  const total = RATE_PER_S * 20;
  const random = createRandom(3);
  const send = (team: string) =>
    driver.arrive(makeRequest({ team, deadlineAtMs: driver.getNowMs() + DEADLINE_MS }));
  driver.onRefusal(({ request, atMs, failure }) => {
    const waitMs = Math.ceil((failure.retryAfterMs ?? 0) / 1_000) * 1_000;
    driver.schedule(atMs + waitMs, () => send(request.team));
  });
  for (let index = 0; index < total; index += 1) {
    driver.schedule(random() * 1_000, () => send(teams[index % teams.length] ?? ''));
  }
  driver.runUntil(60_000);
  assert.is(driver.served.length, total);
  const lastMs = Math.max(...driver.served.map(({ startedAtMs }) => startedAtMs));
  const goodput = total / RATE_PER_S / ((lastMs + SERVICE_MS) / 1_000);
  assert.ok(goodput >= 0.95, `goodput ${goodput}`);
  const servedByTeam = teams.map(
    (team) =>
      driver.served.filter(
        ({ request, startedAtMs }) => request.team === team && startedAtMs < 10_000,
      ).length,
  );
  assert.ok(computeJainIndex(servedByTeam) >= 0.95);
  assert.ok(driver.refused.length < total * 3, `${driver.refused.length} refusals`);
});

test('callers that disconnect free their places in the queue immediately', () => {
  const driver = createDriver(SERVICE_MS);
  driver.setSlots(1);
  const tickets = Array.from({ length: 40 }, () => driver.arrive(makeRequest({})));
  tickets.slice(1).forEach((ticket) => driver.applyEffects(driver.core.cancel(ticket, 0)));
  assert.is(driver.core.getReport(0).services.get('s')?.waiting, 0);
  const last = driver.arrive(makeRequest({ id: 'last' }));
  driver.runUntil(SERVICE_MS);
  assert.is(last.state, 'running');
  assert.ok(driver.refused.every(({ failure }) => failure.code === 'caller-left'));
});

test('a request that cannot be served in time is refused at arrival, not at its deadline', () => {
  const driver = createDriver(SERVICE_MS);
  driver.setSlots(1);
  for (let index = 0; index < 100; index += 1) {
    driver.arrive(makeRequest({ deadlineAtMs: 1_000 }));
  }
  assert.ok(driver.refused.length > 80);
  assert.ok(driver.refused.every(({ atMs }) => atMs === 0));
  assert.ok(driver.refused.every(({ failure }) => failure.verdict === 'not-run'));
});

test('waiting requests that a loss of slots puts out of reach are refused immediately', () => {
  const driver = createDriver(SERVICE_MS);
  driver.setSlots(50);
  const endMs = 1_000;
  scheduleLoad(driver, { perSecond: 1_300, endMs: 500, deadlineAtMs: endMs });
  driver.runUntil(500);
  const waiting = driver.core.getReport(500).services.get('s')?.waiting ?? 0;
  driver.setSlots(1);
  const stillWaiting = driver.core.getReport(500).services.get('s')?.waiting ?? 0;
  assert.ok(waiting > 13 && stillWaiting <= 13, `${waiting} waited and ${stillWaiting} still wait`);
});

test('a team over its quota is refused with the time after which the quota admits more', () => {
  const driver = createDriver(1);
  driver.setSlots(100);
  const values = { ...VALUES, quotaPerSecond: 10 };
  scheduleLoad(driver, { perSecond: 100, endMs: 5_000, values });
  driver.runUntil(6_000);
  assert.ok(driver.served.length <= 10 * 5 + 10, `${driver.served.length} served`);
  assert.ok(driver.served.length >= 10 * 5);
  assert.ok(driver.refused.every(({ failure }) => failure.code === 'quota-exceeded'));
  assert.ok(driver.refused.every(({ failure }) => (failure.retryAfterMs ?? 0) > 0));
});

test('entries that exchange demand enforce a quota together', () => {
  const drivers = [createDriver(1, 1), createDriver(1, 2), createDriver(1, 3)];
  const values = { ...VALUES, quotaPerSecond: 30 };
  const loads = [10, 50, 100];
  drivers.forEach((driver, index) => {
    driver.setSlots(100);
    scheduleLoad(driver, { perSecond: loads[index] ?? 0, endMs: 10_000, values });
  });
  for (let atMs = 0; atMs < 10_000; atMs += 500) {
    const demands = drivers.map(({ core }) => core.getDemand(atMs).teams.get('a') ?? 0);
    const total = demands.reduce((sum, demand) => sum + demand, 0);
    drivers.forEach((driver, index) => {
      driver.core.setPeerDemand(new Map([['a', total - (demands[index] ?? 0)]]), 2);
      driver.runUntil(atMs + 500);
    });
  }
  const served = drivers.reduce((sum, driver) => sum + driver.served.length, 0);
  assert.ok(served >= 0.9 * 300 && served <= 1.2 * 300, `${served} served`);
});

test('property: any arrivals keep to the slots and the queue length and are answered exactly once', () => {
  const arrival = fc.record({
    atMs: fc.integer({ min: 0, max: 2_000 }),
    team: fc.constantFrom('a', 'b', 'c'),
    urgency: fc.constantFrom(...URGENCIES),
    waitMs: fc.integer({ min: 1, max: 1_500 }),
    cancelAfterMs: fc.option(fc.integer({ min: 0, max: 500 })),
  });
  const check = (
    arrivals: readonly fc.Arbitrary<unknown>[] | readonly unknown[],
    slots: number,
    queueLength: number,
  ) => {
    const driver = createDriver(30);
    driver.setSlots(slots);
    (arrivals as readonly { atMs: number; waitMs: number; cancelAfterMs: number | null }[]).forEach(
      ({ atMs, waitMs, cancelAfterMs, ...changes }) =>
        driver.schedule(atMs, () => {
          const values = { ...VALUES, queueLength };
          const ticket = driver.arrive(
            makeRequest({ ...changes, values, deadlineAtMs: atMs + waitMs }),
          );
          const counts = driver.core.getReport(atMs).services.get('s');
          assert.ok((counts?.running ?? 0) <= slots);
          assert.ok((counts?.waiting ?? 0) <= queueLength);
          if (cancelAfterMs === null) return;
          driver.schedule(atMs + cancelAfterMs, () =>
            driver.applyEffects(driver.core.cancel(ticket, driver.getNowMs())),
          );
        }),
    );
    driver.runUntil(20_000);
    assert.is(driver.served.length + driver.refused.length, arrivals.length);
    driver.served.forEach(({ request, startedAtMs }) =>
      assert.ok(startedAtMs < request.deadlineAtMs),
    );
    const counts = driver.core.getReport(20_000).services.get('s');
    assert.is(counts?.running, 0);
    assert.is(counts?.waiting, 0);
  };
  fc.assert(
    fc.property(
      fc.array(arrival, { minLength: 1, maxLength: 300 }),
      fc.integer({ min: 1, max: 6 }),
      fc.integer({ min: 1, max: 30 }),
      check,
    ),
    PROPERTY,
  );
});

test('property: backlogged teams are served in proportion to their weights', () => {
  fc.assert(
    fc.property(
      fc.array(fc.integer({ min: 1, max: 8 }), { minLength: 2, maxLength: 6 }),
      (weights) => {
        const driver = createDriver(10);
        driver.setSlots(1);
        weights.forEach((weight, index) =>
          Array.from({ length: 400 }).forEach(() =>
            driver.arrive(
              makeRequest({
                team: `t${index}`,
                deadlineAtMs: 1e6,
                values: { weight, quotaPerSecond: 1e6, queueLength: 1e4 },
              }),
            ),
          ),
        );
        const rounds = 40;
        const sum = weights.reduce((total, weight) => total + weight, 0);
        driver.runUntil(10 * rounds * sum);
        weights.forEach((weight, index) => {
          const expected = Math.min(400, rounds * weight);
          const actual = countServed(driver, ({ team }) => team === `t${index}`);
          assert.ok(Math.abs(actual - expected) <= 2 * weight + 2, `${actual} for ${expected}`);
        });
      },
    ),
    PROPERTY,
  );
});

test.run();
