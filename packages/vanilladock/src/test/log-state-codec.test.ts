/** Tests that the encoded state of every domain decodes to a state that folds the same way. */
import { readFileSync } from 'node:fs';
import { List, Map, OrderedMap, OrderedSet, Set } from 'immutable';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { encodeRecord } from '../lib/log/codec.js';
import { createFleetState, foldFleet, type FleetState } from '../lib/log/fleet-state.js';
import type { LogRecord } from '../lib/log/record.js';
import { decodeFleetState, encodeFleetState } from '../lib/log/state-codec.js';
import { findPlacementDuty } from '../lib/placement/duty.js';
import { MAINTENANCE_DUTY, MOVES_DUTY } from '../lib/pools/fences.js';

const TEXT = readFileSync(new URL('../../../../examples/smokehouse.yaml', import.meta.url), 'utf8');
const AT = Date.UTC(2026, 10, 2, 12);
const SIZE = { cores: 2, memoryMb: 512, accelerators: 0 };
const INSTANCES = Array.from({ length: 8 }, (_, index) => `i-${index}`);

/** Folds records, each with a unique id and the next offset. */
const foldRecords = (state: FleetState, bodies: readonly object[]): FleetState =>
  bodies.reduce<FleetState>((folded, body) => {
    const head = { version: 1, id: `id-${folded.next}`, by: 'entry-1', at: AT };
    const text = encodeRecord({ ...head, ...body } as LogRecord);
    return foldFleet(folded, { offset: folded.next, text });
  }, state);

const makeClaim = (duty: string) => ({ kind: 'duty.claim', duty, follows: -1, leaseMs: 15_000 });

/** Builds a state in which no domain is empty. */
const buildState = (): FleetState => {
  const duties = [MOVES_DUTY, MAINTENANCE_DUTY, findPlacementDuty('counter')];
  const claimed = foldRecords(createFleetState(), [
    { kind: 'config.publication', base: -1, text: TEXT },
    ...duties.map(makeClaim),
  ]);
  const [moves = -1, maintenance = -1, placement = -1] = duties.map(
    (duty) => claimed.duties.claims.get(duty)?.offset,
  );
  const task = { taskId: 't-1', team: 'fishmongers', urgency: 'quick', taskKind: 'price' };
  return foldRecords(claimed, [
    ...INSTANCES.map((instanceId) => ({
      kind: 'pool.join',
      instanceId,
      pool: 'counter',
      releaseOffset: -1,
      fence: moves,
    })),
    { kind: 'pool.acknowledgement', entryId: 'entry-1', appliedOffset: 3 },
    { kind: 'pool.release', instanceId: 'i-7', from: 'counter', to: 'kiln', fence: moves },
    {
      kind: 'maintenance.permit',
      instanceId: 'i-0',
      wave: 'w',
      isCanary: true,
      fence: maintenance,
    },
    { kind: 'maintenance.observation', lost: ['i-1'], returned: [], fence: maintenance },
    { kind: 'task.submission', ...task, pool: 'counter', declared: SIZE },
    { kind: 'task.submission', ...task, taskId: 't-2', pool: 'counter', declared: SIZE },
    {
      kind: 'task.lease',
      taskId: 't-1',
      workerId: 'w-1',
      size: SIZE,
      follows: -1,
      durationMs: 30_000,
      fence: placement,
    },
  ]);
};

const test = suite('state codec');

test('no domain is empty in the state under test', () => {
  const { capacity, placement } = buildState();
  assert.is(capacity.pools.memberships.size, INSTANCES.length);
  assert.is(capacity.maintenance.permits.size, 1);
  assert.is(capacity.maintenance.lost.size, 1);
  assert.is(placement.tasks.size, 2);
  assert.ok(placement.tasks.get('t-1')?.lease !== undefined);
});

test('a decoded state is equal and folds later records to the same digest and encoding', () => {
  const state = buildState();
  const decoded = decodeFleetState(encodeFleetState(state)) ?? createFleetState();
  assert.is(encodeFleetState(decoded), encodeFleetState(state));
  const later = [
    { kind: 'task.cancellation', taskId: 't-2' },
    {
      kind: 'task.submission',
      taskId: 't-1',
      team: 'x',
      urgency: 'quick',
      taskKind: 'y',
      pool: 'z',
      declared: SIZE,
    },
    { kind: 'pool.removal', instanceId: 'i-3', fence: 1 },
    makeClaim(MOVES_DUTY),
  ];
  const [expected, actual] = [foldRecords(state, later), foldRecords(decoded, later)];
  assert.is(actual.digest, expected.digest);
  assert.is(encodeFleetState(actual), encodeFleetState(expected));
});

test('collections of every kind are decoded with their kind and order', () => {
  const state = createFleetState();
  const values = {
    map: Map([['a', 1]]),
    ordered: OrderedMap([
      ['b', Set(['x'])],
      ['a', Set(['y'])],
    ]),
    set: OrderedSet(['z', 'a']),
    list: List([Infinity, 1]),
  };
  const odd = { ...state, odd: values } as FleetState & { readonly odd: typeof values };
  const decoded = decodeFleetState(encodeFleetState(odd)) as typeof odd;
  assert.ok(decoded.odd.map.equals(values.map));
  assert.ok(decoded.odd.ordered.equals(values.ordered));
  assert.ok(decoded.odd.set.equals(values.set));
  assert.ok(decoded.odd.list.equals(values.list));
});

test.run();
