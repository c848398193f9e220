/** Tests of the executor of maintenance permits. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import {
  createExecutorState,
  decidePermitActions,
  type ExecutorObservations,
  type ExecutorState,
  type PermitAction,
} from '../lib/maintenance/executor.js';
import type { Instance } from '../lib/topology.js';
import { POLICY } from './fleet-records.js';
import { NOW_MS, setUp } from './maintenance-scene.js';

const test = suite('maintenance executor');

/** Creates an executor whose operations the test confirms one by one. */
const createExecutor = (fleet: ReturnType<typeof setUp>) => {
  let state: ExecutorState = createExecutorState();
  const confirmed = new Set<string>();
  const run = (
    nowMs: number,
    work: number,
    rest: Partial<ExecutorObservations> = {},
  ): readonly PermitAction[] => {
    const { instances, policy, log } = fleet;
    const seen = {
      list: { instances, requestedAtMs: nowMs },
      instances,
      work: new Map([['a-0', work]]),
      isConfirmed: (_permitId: string, operation: string) => confirmed.has(operation),
      isEnded: () => false,
      heldSince: 0,
      policyOf: () => policy,
      atMs: NOW_MS,
      ...rest,
    };
    const step = decidePermitActions(state, log.getState(), seen, nowMs);
    state = step.state;
    return step.actions;
  };
  const setConfirmed = (operation: string) => confirmed.add(operation);
  return { run, setConfirmed };
};

const formatActions = (actions: readonly PermitAction[]): readonly string[] =>
  actions.map((action) => {
    switch (action.kind) {
      case 'operation':
        return action.operation;
      case 'checkpoint':
        return `checkpoint ${action.tasks}`;
      case 'outcome':
        return `${action.result}: ${action.reason}`;
      default:
        return action satisfies never;
    }
  });

test('each operation of a permit is repeated until confirmed, from drain to outcome', () => {
  const fleet = setUp();
  fleet.appendPermit('a-0');
  const { run, setConfirmed } = createExecutor(fleet);
  assert.equal(formatActions(run(0, 3)), ['drain', 'checkpoint 3']);
  assert.equal(formatActions(run(1000, 0)), ['drain']);
  setConfirmed('drain');
  assert.equal(formatActions(run(2000, 1)), ['checkpoint 1']);
  assert.equal(formatActions(run(3000, 0)), ['reboot']);
  setConfirmed('reboot');
  assert.equal(formatActions(run(4000, 0)), []);
  assert.equal(formatActions(run(93_999, 0)), [], 'the list does not reliably show the reboot yet');
  assert.equal(formatActions(run(94_000, 0)), ['restore']);
  setConfirmed('restore');
  assert.equal(formatActions(run(95_000, 0)), ['returned: seen-after-reboot']);
});

test('a permit whose drain exceeds its limit is released once its restore is confirmed', () => {
  const fleet = setUp();
  fleet.appendPermit('a-0');
  const { run, setConfirmed } = createExecutor(fleet);
  run(0, 1);
  setConfirmed('drain');
  assert.equal(formatActions(run(POLICY.drainLimitMs, 1)), ['restore']);
  assert.equal(formatActions(run(POLICY.drainLimitMs + 1, 1)), ['restore']);
  setConfirmed('restore');
  assert.equal(formatActions(run(POLICY.drainLimitMs + 2, 1)), ['gave-back: drain-limit']);
});

test('a permit that an earlier executor ended at the platform is released at once', () => {
  const fleet = setUp();
  fleet.appendPermit('a-0');
  const { run, setConfirmed } = createExecutor(fleet);
  assert.equal(formatActions(run(0, 2)), ['drain', 'checkpoint 2']);
  const refused = { isEnded: () => true };
  assert.equal(formatActions(run(1000, 2, refused)), ['restore']);
  setConfirmed('restore');
  assert.equal(formatActions(run(2000, 2, refused)), ['gave-back: ended-before']);
});

test('a permit is released when a loss exceeds the budget before the reboot', () => {
  const fleet = setUp();
  fleet.appendPermit('a-0');
  fleet.appendLoss(['a-6', 'a-7'], NOW_MS);
  const { run, setConfirmed } = createExecutor(fleet);
  setConfirmed('drain');
  assert.equal(formatActions(run(0, 0)), ['restore']);
  setConfirmed('restore');
  assert.equal(formatActions(run(1, 0)), ['gave-back: budget-lost-before-reboot']);
});

test('an instance that does not return has failed, unless its whole rack is lost', () => {
  const fleet = setUp();
  fleet.appendPermit('a-0');
  const gone = { instances: new Map<string, Instance>(), requestedAtMs: 0 };
  const { run, setConfirmed } = createExecutor(fleet);
  setConfirmed('drain');
  run(0, 0);
  setConfirmed('reboot');
  run(1, 0, { list: gone });
  const lateMs = 10 * POLICY.rebootLimitMs;
  fleet.appendLoss(['a-2', 'a-4', 'a-6'], NOW_MS);
  assert.equal(formatActions(run(lateMs, 0, { list: gone })), []);
  fleet.appendLoss([], NOW_MS, ['a-2', 'a-4', 'a-6']);
  assert.equal(formatActions(run(lateMs + 1, 0, { list: gone })), []);
  const actions = run(lateMs + POLICY.rebootLimitMs, 0, { list: gone });
  assert.equal(formatActions(actions), ['restore', 'failed: reboot-limit']);
});

test('an executor that takes over starts from the drain with the same permit id', () => {
  const fleet = setUp();
  const offset = fleet.appendPermit('a-0');
  const { run } = createExecutor(fleet);
  const [action] = run(1e9, 0);
  assert.equal(action, {
    kind: 'operation',
    operation: 'drain',
    instanceId: 'a-0',
    permitId: `r${offset}`,
  });
});

// Guards against a wave that stands: an earlier executor has rebooted the instance, which is back in
// service and never idle.
test('an executor that takes over takes a drained instance that is live for rebooted', () => {
  const fleet = setUp();
  const heldSince = fleet.appendPermit('a-0') + 1;
  const busy = createExecutor(fleet);
  busy.run(0, 1, { heldSince });
  busy.setConfirmed('drain');
  assert.equal(formatActions(busy.run(1_000, 1, { heldSince })), ['checkpoint 1']);
  assert.equal(formatActions(busy.run(90_999, 1, { heldSince })), ['checkpoint 1']);
  const instances = new Map(fleet.instances);
  instances.set('a-0', { ...instances.get('a-0')!, state: 'leaving' });
  const leaving = { heldSince, list: { instances, requestedAtMs: 91_000 } };
  assert.equal(formatActions(busy.run(91_000, 1, leaving)), ['checkpoint 1'], 'not rebooted');
  assert.equal(formatActions(busy.run(91_000, 1)), ['checkpoint 1'], 'an own permit');
  assert.equal(formatActions(busy.run(91_000, 1, { heldSince })), ['restore']);
  busy.setConfirmed('restore');
  const ended = formatActions(busy.run(92_000, 1, { heldSince }));
  assert.equal(ended, ['returned: seen-after-reboot']);
});

test.run();
