/** Tests of the fold of permits: racing planners, losses, repetitions, canaries, stopped waves. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { computeBudget, isWithinHours } from '../lib/maintenance/policy.js';
import { appendClaims, createFakeLog, appendMembers } from './fleet-records.js';

const test = suite('maintenance-fold');

const setUp = (policy = {}) => {
  const log = createFakeLog(policy);
  const { moves, waves } = appendClaims(log);
  appendMembers(log, moves, 'a', 8);
  const appendPermit = (instanceId: string, rest: object = {}) =>
    log.append({
      kind: 'maintenance.permit',
      instanceId,
      wave: 'w',
      isCanary: false,
      fence: waves,
      ...rest,
    });
  const appendOutcome = (
    permitOffset: number,
    instanceId: string,
    result: 'returned' | 'gave-back' | 'failed',
  ) => log.append({ kind: 'maintenance.outcome', permitOffset, instanceId, result });
  const observe = (lost: readonly string[], returned: readonly string[] = []) =>
    log.append({ kind: 'maintenance.observation', lost, returned, fence: waves });
  const getMaintenance = () => log.getState().maintenance;
  const getRefusal = (id: string) => getMaintenance().refusals.get(id)?.refusal;
  const listOpen = () => [...getMaintenance().permits.keys()].sort();
  return {
    log,
    moves,
    waves,
    appendPermit,
    appendOutcome,
    observe,
    getMaintenance,
    getRefusal,
    listOpen,
  };
};

test('permits beyond the budget are void, whichever entry writes them', () => {
  const { appendPermit, getRefusal, listOpen } = setUp();
  appendPermit('a-0');
  appendPermit('a-1', { by: 'e2' });
  appendPermit('a-2', { by: 'e3' });
  assert.equal(listOpen(), ['a-0', 'a-1']);
  assert.is(getRefusal('a-2'), 'budget-spent');
});

test('unplanned losses count against the budget and prevent further permits', () => {
  const { appendPermit, observe, getRefusal, listOpen } = setUp();
  observe(['a-6', 'a-7']);
  appendPermit('a-0');
  assert.is(getRefusal('a-0'), 'budget-spent');
  observe([], ['a-6']);
  appendPermit('a-0');
  assert.equal(listOpen(), ['a-0']);
});

test('a permit is not ended by an observed loss or return, only by its outcome', () => {
  const { appendPermit, observe, appendOutcome, listOpen } = setUp();
  const offset = appendPermit('a-0');
  observe(['a-0']);
  observe([], ['a-0']);
  assert.equal(listOpen(), ['a-0']);
  appendOutcome(offset, 'a-0', 'returned');
  assert.equal(listOpen(), []);
});

test('an instance that failed to return counts as lost until its return is observed', () => {
  const { appendPermit, appendOutcome, observe, getMaintenance } = setUp();
  appendOutcome(appendPermit('a-0'), 'a-0', 'failed');
  assert.ok(getMaintenance().lost.has('a-0'));
  observe([], ['a-0']);
  assert.not(getMaintenance().lost.has('a-0'));
  assert.not(getMaintenance().maintained.has('a-0'));
});

test('a late or repeated outcome of an older permit does not end the newer one', () => {
  const { appendPermit, appendOutcome, listOpen } = setUp();
  const older = appendPermit('a-0');
  appendOutcome(older, 'a-0', 'gave-back');
  appendPermit('a-0');
  appendOutcome(older, 'a-0', 'returned');
  assert.equal(listOpen(), ['a-0']);
});

test('a repeated permit is void after its own outcome', () => {
  const { appendPermit, appendOutcome, listOpen } = setUp();
  appendOutcome(appendPermit('a-0', { id: 'once' }), 'a-0', 'returned');
  appendPermit('a-0', { id: 'once' });
  assert.equal(listOpen(), []);
});

test('a superseded planner gets no permit', () => {
  const { log, waves, appendPermit, getRefusal } = setUp();
  log.append({ kind: 'duty.claim', duty: 'maintenance/waves', follows: waves, leaseMs: 1 });
  appendPermit('a-0');
  assert.is(getRefusal('a-0'), 'superseded-planner');
});

test('other permits require the return of the canary, and its failure stops the wave', () => {
  const { appendPermit, appendOutcome, getRefusal, getMaintenance, listOpen } = setUp({
    canaries: 1,
  });
  appendPermit('a-0');
  assert.is(getRefusal('a-0'), 'canary-first');
  const canary = appendPermit('a-0', { isCanary: true });
  appendPermit('a-1');
  assert.is(getRefusal('a-1'), 'canary-first');
  appendOutcome(canary, 'a-0', 'returned');
  appendPermit('a-1');
  assert.equal(listOpen(), ['a-1']);
  appendOutcome(appendPermit('a-2', { isCanary: true, wave: 'v' }), 'a-2', 'failed');
  appendPermit('a-3', { wave: 'v' });
  assert.equal(getMaintenance().waves.get('v')?.stop, {
    kind: 'canary-failed',
    instanceId: 'a-2',
  });
});

test('a wave with too many failures is stopped, and the reason has their number', () => {
  const { appendPermit, appendOutcome, observe, getRefusal, getMaintenance } = setUp();
  appendOutcome(appendPermit('a-0'), 'a-0', 'failed');
  assert.is(getMaintenance().waves.get('w')?.stop, undefined);
  appendOutcome(appendPermit('a-1'), 'a-1', 'failed');
  observe([], ['a-0', 'a-1']);
  appendPermit('a-2');
  assert.is(getRefusal('a-2'), 'wave-stopped');
  const expected = { kind: 'too-many-failed', failed: 2, granted: 2 };
  assert.equal(getMaintenance().waves.get('w')?.stop, expected);
});

test('a maintenance freeze and the maintenance hours apply at the date of the record', () => {
  const frozen = setUp({ maintenanceFrozen: true });
  frozen.appendPermit('a-0');
  assert.is(frozen.getRefusal('a-0'), 'frozen');
  const night = setUp({ maintenanceHours: [1, 5] });
  night.appendPermit('a-0', { at: 5 * 3_600_000 });
  assert.is(night.getRefusal('a-0'), 'outside-hours');
  night.appendPermit('a-0', { at: 4 * 3_600_000 });
  assert.equal(night.listOpen(), ['a-0']);
  assert.is(isWithinHours([22, 4], 23 * 3_600_000), true);
  assert.is(isWithinHours([22, 4], 12 * 3_600_000), false);
});

test('an instance with a permit or between pools gets no second permit', () => {
  const { log, moves, appendPermit, getRefusal } = setUp();
  appendPermit('a-0');
  appendPermit('a-0', { id: 'second' });
  assert.is(getRefusal('a-0'), 'has-permit');
  log.append({ kind: 'pool.release', instanceId: 'a-1', from: 'a', to: 'b', fence: moves });
  appendPermit('a-1');
  assert.is(getRefusal('a-1'), 'not-in-a-pool');
});

test('a removal is void while its instance has a permit', () => {
  const { log, moves, appendPermit, appendOutcome, listOpen } = setUp();
  const offset = appendPermit('a-0');
  log.append({ kind: 'pool.removal', instanceId: 'a-0', fence: moves });
  assert.equal(listOpen(), ['a-0']);
  appendOutcome(offset, 'a-0', 'failed');
  log.append({ kind: 'pool.removal', instanceId: 'a-0', fence: moves });
  assert.is(log.getState().pools.members.get('a')?.size, 7);
  assert.not(log.getState().maintenance.lost.has('a-0'));
});

test('a removal is void while open permits would exceed the budget of the smaller pool', () => {
  const { log, moves, appendPermit, appendOutcome } = setUp();
  const offset = appendPermit('a-0');
  appendPermit('a-1');
  log.append({ kind: 'pool.removal', instanceId: 'a-2', fence: moves });
  assert.is(log.getState().pools.members.get('a')?.size, 8);
  appendOutcome(offset, 'a-0', 'returned');
  log.append({ kind: 'pool.removal', instanceId: 'a-2', fence: moves });
  assert.is(log.getState().pools.members.get('a')?.size, 7);
});

test('a budget is rounded down, but is at least one for several instances and zero for one', () => {
  assert.is(computeBudget(0.25, 8), 2);
  assert.is(computeBudget(0.25, 11), 2);
  assert.is(computeBudget(0.25, 3), 1);
  assert.is(computeBudget(0.25, 1), 0);
  assert.is(computeBudget(0, 40), 0);
  assert.is(computeBudget(0.29, 100), 29);
});

test.run();
