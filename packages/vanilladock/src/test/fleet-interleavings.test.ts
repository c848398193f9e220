/**
 * Property tests with random interleavings of three planners and two entries over one log, with
 * outages, lost responses, repetitions, pauses, lag, losses and replaced processes. The invariants
 * are checked after each step.
 */
import fc from 'fast-check';
import { suite } from 'uvu';
import { countUnavailable } from '../lib/maintenance/fold.js';
import { computeBudget } from '../lib/maintenance/policy.js';
import { countMembers } from '../lib/pools/fold.js';
import {
  appendRemovalOf,
  appendTo,
  appendClaimsOf,
  createModel,
  getFleet,
  appendJoinOf,
  appendPermitOf,
  readEntry,
  readPlanner,
  appendReleaseOf,
  sendAcknowledgement,
  type Model,
} from './fleet-model.js';
import { findFault } from './fleet-model-checks.js';

const test = suite('fleet-interleavings');
const SEED = 20_261_203;
const RUNS = 2500;
const PLANNERS = 3;
const ENTRIES = 2;
const POOL_SIZE = 4;

const planner = fc.nat(PLANNERS - 1);
const entry = fc.nat(ENTRIES - 1);
const instance = fc.constantFrom('a-0', 'a-1', 'a-2', 'a-3', 'b-0', 'b-1');
const pool = fc.constantFrom('a', 'b', 'c');

const stepArbitrary = fc.oneof(
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('read' as const), planner }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('claim' as const), planner }) },
  {
    weight: 3,
    arbitrary: fc.record({ kind: fc.constant('release' as const), planner, instance, pool }),
  },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('join' as const), planner }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('permit' as const), planner, instance }) },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('loss' as const),
      planner,
      instance,
      isLost: fc.boolean(),
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('outcome' as const), instance }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('removal' as const), planner, instance }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('acknowledge' as const), entry }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('apply' as const), entry }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('repeat' as const), age: fc.nat(8) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('outage' as const) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('replace' as const), planner }) },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('wait' as const),
      ms: fc.integer({ min: 1, max: 6 }),
    }),
  },
);

type Step = typeof stepArbitrary extends fc.Arbitrary<infer T> ? T : never;

/** Appends the record of a step that does not depend on what a planner has read. */
const applyRecordStep = (model: Model, step: Step): Model => {
  if (model.isLogUnavailable) return model;
  const { permits } = getFleet(model).maintenance;
  switch (step.kind) {
    case 'loss': {
      const fence = model.planners[step.planner]?.wavesFence ?? -1;
      const ids = [step.instance];
      const [lost, returned] = step.isLost ? [ids, []] : [[], ids];
      return appendTo(model, { kind: 'maintenance.observation', lost, returned, fence });
    }
    case 'outcome': {
      const permitOffset = permits.get(step.instance)?.offset ?? 0;
      const { instance: instanceId } = step;
      return appendTo(model, {
        kind: 'maintenance.outcome',
        permitOffset,
        instanceId,
        result: 'returned',
      });
    }
    case 'removal':
      return appendRemovalOf(model, step.planner, step.instance);
    case 'repeat': {
      const record = model.records.at(-1 - step.age);
      return record === undefined ? model : appendTo(model, record, 'nothing', record.id);
    }
    case 'read':
    case 'claim':
    case 'release':
    case 'join':
    case 'permit':
    case 'acknowledge':
    case 'apply':
    case 'outage':
    case 'replace':
    case 'wait':
      return model;
    default:
      return step satisfies never;
  }
};

const applyStep = (model: Model, step: Step): Model => {
  switch (step.kind) {
    case 'read':
      return model.isLogUnavailable ? model : readPlanner(model, step.planner);
    case 'claim':
      return appendClaimsOf(model, step.planner);
    case 'release':
      return appendReleaseOf(model, step.planner, [step.instance, step.pool], 'nothing');
    case 'join':
      return appendJoinOf(model, step.planner, 'nothing');
    case 'permit':
      return appendPermitOf(model, step.planner, step.instance, 'nothing');
    case 'acknowledge':
      return sendAcknowledgement(model, step.entry);
    case 'apply':
      return model.isLogUnavailable ? model : readEntry(model, step.entry);
    case 'outage':
      return { ...model, isLogUnavailable: !model.isLogUnavailable };
    case 'replace': {
      const planners = model.planners.map((it, index) =>
        index === step.planner ? { ...it, movesFence: -1, wavesFence: -1, lastAppend: -1 } : it,
      );
      return { ...model, planners };
    }
    case 'wait':
      return { ...model, nowMs: model.nowMs + step.ms };
    case 'loss':
    case 'outcome':
    case 'removal':
    case 'repeat':
      return applyRecordStep(model, step);
    default:
      return step satisfies never;
  }
};

/** Finds a permit that was granted in this step although its pool's budget was exhausted. */
const findExcessPermit = (before: Model, after: Model): string | undefined => {
  const known = getFleet(before).maintenance.permits;
  const { pools, maintenance } = getFleet(after);
  const [id, permit] =
    [...maintenance.permits].find(([instanceId]) => !known.has(instanceId)) ?? [];
  if (permit === undefined) return undefined;
  const budget = computeBudget(0.5, countMembers(pools, permit.pool));
  return countUnavailable(maintenance, pools, permit.pool) > budget ? id : undefined;
};

test('no interleaving splits an instance between pools or exceeds a budget', () => {
  fc.assert(
    fc.property(fc.array(stepArbitrary, { minLength: 20, maxLength: 60 }), (steps) => {
      let model = createModel(PLANNERS, ENTRIES, POOL_SIZE);
      steps.forEach((step) => {
        const after = applyStep(model, step);
        const excessPermit = findExcessPermit(model, after);
        if (excessPermit !== undefined)
          throw new Error(`permit of ${excessPermit} exceeds the budget`);
        const fault = findFault(after);
        if (fault !== undefined) throw new Error(fault);
        model = after;
      });
    }),
    { seed: SEED, numRuns: RUNS },
  );
});

test('equal prefixes of the log fold to equal states', () => {
  fc.assert(
    fc.property(fc.array(stepArbitrary, { minLength: 20, maxLength: 60 }), (steps) => {
      const model = steps.reduce(applyStep, createModel(PLANNERS, ENTRIES, POOL_SIZE));
      const refolded = model.records.reduce(
        (it, record) => appendTo(it, record, 'nothing', record.id),
        { ...createModel(1, 0, 0), records: [], states: [getFleet(model, -1)] } as Model,
      );
      const { pools, maintenance } = getFleet(model);
      const other = getFleet(refolded);
      const isEqual =
        pools.memberships.equals(other.pools.memberships) ||
        JSON.stringify(pools.memberships) === JSON.stringify(other.pools.memberships);
      if (!isEqual) throw new Error('memberships differ');
      if (JSON.stringify(maintenance.permits) !== JSON.stringify(other.maintenance.permits)) {
        throw new Error('permits differ');
      }
    }),
    { seed: SEED, numRuns: 100 },
  );
});

test.run();
