/** Tests of an entry's shares while it knows no peers, during and after discovery. */
import FakeTimers from '@sinonjs/fake-timers';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { createAdmission, parseConfig, type Instance } from 'vanilladock';
import { readFileSync } from 'node:fs';
import { createEntryShares } from '../../lib/peers/entry-shares.js';

const EXAMPLE = new URL('../../../../../examples/smokehouse.yaml', import.meta.url);
const CONFIG = parseConfig(readFileSync(EXAMPLE, 'utf8')).unwrap();
const AFTER_DISCOVERY_MS = 11_000;

const makeInstance = (id: string, role: Instance['role']): Instance => ({
  id,
  role,
  address: '127.0.0.1:1',
  ...(role === 'upstream' ? { service: 'prices' } : {}),
  location: { region: 'tasmania', dataCentre: 'hobart', rack: 'r1' },
  state: 'live',
  attributes: {},
});

const UPSTREAMS = ['prices-0', 'prices-1'].map((id) => makeInstance(id, 'upstream'));
const ENTRIES = ['entry-0', 'entry-1', 'entry-2'].map((id) => makeInstance(id, 'entry'));

/** Creates shares and a getter of the admission capacity that they set for the service `prices`. */
const createShares = () => {
  const capacities: number[] = [];
  const admission = createAdmission();
  const observedAdmission = {
    ...admission,
    setCapacity: (service: string, capacity: number) => {
      if (service === 'prices') capacities.push(capacity);
      admission.setCapacity(service, capacity);
    },
  };
  const listCandidates = (service: string) =>
    service === 'prices'
      ? UPSTREAMS.map(({ id }) => ({ id, address: '127.0.0.1:1', inFlight: 0 }))
      : [];
  const shares = createEntryShares({ id: 'entry-0', admission: observedAdmission, listCandidates });
  return { shares, getCapacity: () => capacities.at(-1) };
};

const test = suite('shares');

test('an entry that has just started does not take the slots of listed entries', () => {
  const clock = FakeTimers.install({ toFake: ['performance'] });
  const { shares, getCapacity } = createShares();
  shares.update(CONFIG, [...UPSTREAMS, ...ENTRIES]);
  assert.is(getCapacity(), 6, 'a third of 2 processes of 8 slots and one in transit');
  clock.uninstall();
});

test('after discovery, an entry without live peers takes all slots', () => {
  const clock = FakeTimers.install({ toFake: ['performance'] });
  const { shares, getCapacity } = createShares();
  shares.update(CONFIG, [...UPSTREAMS, ...ENTRIES]);
  clock.tick(AFTER_DISCOVERY_MS);
  shares.observeDemand([], new Map(), 0);
  shares.update(CONFIG, [...UPSTREAMS, ...ENTRIES]);
  assert.is(getCapacity(), 18);
  clock.uninstall();
});

test.run();
