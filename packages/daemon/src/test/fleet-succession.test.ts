/** The fleet duty while its holders are stopped one after the other, in a simulation of them. */
import { BehaviorSubject } from 'rxjs';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import type { FleetInstance, FleetOutcome } from 'vanilladock/lib/ports/fleet.js';
import { createDutyClaims } from '../lib/jobs/duty-claims.js';
import type { DutyClaims } from '../lib/jobs/duty-claims-types.js';
import { startFleetHolder, type FleetHolderOptions } from '../lib/jobs/fleet-holder.js';
import { FLEET_DUTY } from '../lib/jobs/fleet-runner.js';
import { createHandOverMemory } from '../lib/jobs/hand-over-memory.js';
import { SILENT_LOG } from './job-fixtures.js';
import { waitFor } from './memory-store.js';
import { createMovingClock } from './moving-clock.js';
import { createPolledStore } from './polled-store.js';

const GAP_MS = 3_000;
const SERIES_MS = 26_000;
const MACHINES = 6;
const INSTANCES = 5;

/** Time of maintenance, and from the stop of an instance to its next start. */
const MAINTENANCE_MS = 400;
const START_AGAIN_MS = 3_300;

/** Machines that note who has ordered their maintenance, and when. */
const createFleet = () => {
  const orders: { readonly holder: string; readonly atMs: number }[] = [];
  const maintained = new Set<string>();
  const instances = new Map(
    Array.from({ length: MACHINES }, (_, index): [string, FleetInstance] => {
      const place = { pool: 'stalls', dataCentre: 'hobart', labels: [], cores: 1 };
      return [`m${index}`, { id: `m${index}`, state: 'up', workerId: `w${index}`, ...place }];
    }),
  );
  const order = async (id: string, holder: string): Promise<FleetOutcome> => {
    await waitFor(2);
    orders.push({ holder, atMs: performance.now() });
    const instance = instances.get(id)!;
    instances.set(id, { ...instance, state: 'maintenance' });
    setTimeout(() => {
      maintained.add(id);
      instances.set(id, { ...instance, workerId: `${instance.workerId}+` });
    }, MAINTENANCE_MS);
    return { kind: 'done' };
  };
  return { orders, maintained, instances, order };
};

/** Stops whoever holds the duty, again and again, `intervalMs` apart. */
const runSeries = async (intervalMs: number) => {
  const clock = createMovingClock();
  const store = createPolledStore({ pickMs: () => 2, handleStored: () => {} });
  const { orders, maintained, instances, order } = createFleet();
  const present = new Map<string, DutyClaims>();
  const wave = { wave: 1, instances: [...instances.keys()], durationMs: 400, maxConcurrent: 2 };
  const openInstance = (name: string) => {
    const self = { id: `${name}~${Date.now()}`, name, address: name, cores: 1 };
    const handOvers = createHandOverMemory();
    const claims = createDutyClaims({
      store,
      self,
      listDuties: () => [FLEET_DUTY],
      isHandedOver: () => false,
      handleContact: () => {},
      getStoreContactMs: () => performance.now(),
      sendNotice: async (peer, notice) => {
        await waitFor(2);
        const view = present.get(peer.name)?.answerNotice(notice);
        return view === undefined ? { kind: 'silent' } : { kind: 'answered', view };
      },
      findHandOver: (duty) => handOvers.find(duty, performance.now()),
      log: SILENT_LOG,
    });
    startFleetHolder({
      store,
      claims,
      handOvers,
      holder: self.id,
      gateway: {
        answerOnce: ({ kind }: { readonly kind: string }) =>
          Promise.resolve(
            kind === 'evacuate' ? { kind: 'content', lastingTasks: 0, batchTasks: 0 } : { kind },
          ),
      },
      fleet: {
        listInstances: () => Promise.resolve([...instances.values()]),
        maintainInstance: (id: string) => order(id, self.id),
      },
      config: new BehaviorSubject(undefined),
      waves: new BehaviorSubject(new Map([[1, wave]])),
      publishWave: () => Promise.resolve(true),
      holderGapMs: GAP_MS,
      fleetOrdersPerSecond: 10,
      log: SILENT_LOG,
    } as unknown as FleetHolderOptions);
    present.set(name, claims);
    claims.start();
  };
  const stopHolder = () => {
    const found = [...present].find(([, { held }]) => held.value.has(FLEET_DUTY));
    if (found === undefined) return;
    const [name, claims] = found;
    present.delete(name);
    void claims.stop(() => false);
    setTimeout(() => openInstance(name), START_AGAIN_MS);
  };
  try {
    Array.from({ length: INSTANCES }, (_, index) => openInstance(`entry-${index}`));
    await clock.tickAsync(intervalMs);
    for (let atMs = 0; atMs < SERIES_MS; atMs += intervalMs) {
      stopHolder();
      await clock.tickAsync(intervalMs);
    }
    [...present.values()].forEach((claims) => void claims.stop(() => false));
  } finally {
    clock.uninstall();
  }
  const gaps = orders.flatMap(({ holder, atMs }, index) => {
    const earlier = orders[index - 1];
    return earlier === undefined || earlier.holder === holder ? [] : [atMs - earlier.atMs];
  });
  return { maintained, shortestGapMs: Math.min(...gaps) };
};

const test = suite('fleet succession');

// Guards against holders that each wait anew for the orders of those before them.
test('a wave is carried out while the holders of the fleet duty are stopped in series', async () => {
  for (const intervalMs of [1_300, 1_600, 2_000]) {
    const { maintained, shortestGapMs } = await runSeries(intervalMs);
    assert.is(maintained.size, MACHINES, `stops each ${intervalMs} ms`);
    assert.ok(shortestGapMs >= GAP_MS, `${shortestGapMs} ms between two holders' orders`);
  }
});

test.run();
