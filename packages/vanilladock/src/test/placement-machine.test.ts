/**
 * State-machine test for placement: draws interleavings of planners, workers and faults, runs each in
 * a simulation and checks its invariants after every step.
 */
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import {
  createSimulation,
  PLANNERS,
  WORKERS,
  type Delivery,
  type Simulation,
} from './placement-machine-simulation.js';

const RUNS = 2_000;
const SEED = 20_260_101;

type Step = (simulation: Simulation) => void;

const planner = fc.nat(PLANNERS - 1);
const worker = fc.nat(WORKERS.length - 1);
const deliveries = fc.array(
  fc.constantFrom<Delivery>('done', 'done', 'done', 'lost', 'twice', 'late'),
  {
    minLength: 1,
    maxLength: 4,
  },
);

/** Runs two rounds of a healthy planner. */
const runCycle =
  (index: number, delivery: readonly Delivery[]): Step =>
  (simulation) => {
    simulation.claimDuty(index);
    simulation.refreshClaim(index);
    simulation.addTime(500);
    WORKERS.forEach((_id, position) => simulation.observeReport(position, index));
    simulation.readLog(index, Infinity);
    simulation.runRound(index, delivery, false);
    simulation.readLog(index, Infinity);
    simulation.runRound(index, delivery, false);
  };

/** Runs a partition: one planner reaches one worker, another the log and the other worker. */
const runPartition =
  (cutOff: number, other: number, reachable: number, times: number): Step =>
  (simulation) => {
    if (cutOff === other) return;
    for (let time = 0; time < times; time += 1) {
      simulation.addTime(2_000);
      simulation.observeReport(reachable, cutOff);
      simulation.runRound(cutOff, ['done'], false);
      simulation.claimDuty(other);
      simulation.refreshClaim(other);
      simulation.readLog(other, Infinity);
      simulation.observeReport(1 - reachable, other);
      simulation.runRound(other, ['done'], false);
    }
  };

const number = fc.integer({ min: 1, max: 6 });

const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 2,
    arbitrary: fc
      .tuple(planner, planner, worker, fc.integer({ min: 1, max: 12 }))
      .map(([a, b, w, times]): Step => runPartition(a, b, w, times)),
  },
  {
    weight: 1,
    arbitrary: fc.tuple(number, worker).map(
      ([n, w]): Step =>
        (simulation) =>
          simulation.appendRogueLease(n, WORKERS[w] ?? 'w0'),
    ),
  },
  {
    weight: 1,
    arbitrary: number.map(
      (n): Step =>
        (simulation) =>
          simulation.appendStaleEnd(n),
    ),
  },
  {
    weight: 12,
    arbitrary: fc.tuple(planner, deliveries).map(([p, f]): Step => runCycle(p, f)),
  },
  {
    weight: 4,
    arbitrary: fc.nat(8_000).map(
      (ms): Step =>
        (simulation) =>
          simulation.addTime(ms),
    ),
  },
  {
    weight: 2,
    arbitrary: fc.integer({ min: 1, max: 4 }).map(
      (n): Step =>
        (w) =>
          w.submitTask(n),
    ),
  },
  {
    weight: 1,
    arbitrary: fc.integer({ min: 1, max: 6 }).map(
      (n): Step =>
        (w) =>
          w.cancelTask(n),
    ),
  },
  {
    weight: 2,
    arbitrary: planner.map(
      (p): Step =>
        (simulation) =>
          simulation.claimDuty(p),
    ),
  },
  {
    weight: 4,
    arbitrary: planner.map(
      (p): Step =>
        (simulation) =>
          simulation.refreshClaim(p),
    ),
  },
  {
    weight: 6,
    arbitrary: fc.tuple(planner, fc.nat(20)).map(
      ([p, n]): Step =>
        (simulation) =>
          simulation.readLog(p, n),
    ),
  },
  {
    weight: 8,
    arbitrary: fc.tuple(planner, deliveries, fc.nat(5)).map(
      ([p, f, n]): Step =>
        (simulation) =>
          simulation.runRound(p, f, n === 0),
    ),
  },
  {
    weight: 8,
    arbitrary: fc.tuple(worker, planner).map(
      ([w, p]): Step =>
        (simulation) =>
          simulation.observeReport(w, p),
    ),
  },
  { weight: 3, arbitrary: fc.constant<Step>((simulation) => simulation.runDelayed()) },
  {
    weight: 2,
    arbitrary: fc.tuple(worker, fc.constantFrom('succeeded' as const, 'failed' as const)).map(
      ([w, phase]): Step =>
        (simulation) =>
          simulation.finishTask(w, phase),
    ),
  },
  {
    weight: 1,
    arbitrary: fc.tuple(worker, fc.boolean()).map(
      ([w, isPaused]): Step =>
        (simulation) =>
          simulation.setPaused(w, isPaused),
    ),
  },
  {
    weight: 1,
    arbitrary: fc.boolean().map(
      (isAvailable): Step =>
        (simulation) =>
          simulation.setStoreAvailable(isAvailable),
    ),
  },
);

const test = suite('placement machine');

test('no interleaving runs a task twice, exceeds a quota or loses an accepted task', () => {
  let stepsWithWork = 0;
  const property = fc.property(fc.array(step, { minLength: 40, maxLength: 120 }), (steps) => {
    const simulation = createSimulation();
    simulation.submitTask(2);
    simulation.claimDuty(0);
    steps.forEach((run) => {
      run(simulation);
      if (simulation.checkInvariants().starts > 0) stepsWithWork += 1;
    });
  });
  fc.assert(property, { numRuns: RUNS, seed: SEED });
  process.stdout.write(`${RUNS} interleavings, ${stepsWithWork} steps with work running\n`);
  assert.ok(stepsWithWork > RUNS, 'too few interleavings reach the point where work runs');
});

test.run();
