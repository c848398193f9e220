/** Tests of an entry's shares while it does not know its peers yet. */
import FakeTimers from '@sinonjs/fake-timers';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { createAdmission, parseConfig, type Instance } from 'vanilladock';
import { readFileSync } from 'node:fs';
import { createEntryShares } from '../../lib/peers/peer-exchange-shares.js';

const EXAMPLE = new URL('../../../../../examples/smokehouse.yaml', import.meta.url);
const CONFIG = parseConfig(readFileSync(EXAMPLE, 'utf8')).unwrap();
const AFTER_INTRODUCTION_MS = 11_000;

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

/** Creates shares and a reader of the places that they give to the service `prices`. */
const createShares = () => {
  const places: number[] = [];
  const admission = createAdmission();
  const watched = {
    ...admission,
    setCapacity: (service: string, running: number) => {
      if (service === 'prices') places.push(running);
      admission.setCapacity(service, running);
    },
  };
  const listCandidates = (service: string) =>
    service === 'prices'
      ? UPSTREAMS.map(({ id }) => ({ id, address: '127.0.0.1:1', inFlight: 0 }))
      : [];
  const shares = createEntryShares({ id: 'entry-0', admission: watched, listCandidates });
  return { shares, getPlaces: () => places.at(-1) };
};

const test = suite('shares');

test('an entry that has just started leaves the slots of listed entries alone', () => {
  const clock = FakeTimers.install({ toFake: ['performance'] });
  const { shares, getPlaces } = createShares();
  shares.update(CONFIG, [...UPSTREAMS, ...ENTRIES]);
  assert.is(getPlaces(), 6, 'a third of 2 processes of 8 slots and one in transit');
  clock.uninstall();
});

test('later an entry that hears nobody takes over their slots', () => {
  const clock = FakeTimers.install({ toFake: ['performance'] });
  const { shares, getPlaces } = createShares();
  shares.update(CONFIG, [...UPSTREAMS, ...ENTRIES]);
  clock.tick(AFTER_INTRODUCTION_MS);
  shares.observeDemand([], new Map(), 0);
  shares.update(CONFIG, [...UPSTREAMS, ...ENTRIES]);
  assert.is(getPlaces(), 18);
  clock.uninstall();
});

test.run();
