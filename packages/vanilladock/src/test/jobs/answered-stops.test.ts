/**
 * How long a run counts whose start has no answer, on a worker that answers all else: stops within
 * 5 ms, and renewals as to a busy worker, by long polls.
 */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import type { StopAction } from '../../lib/jobs/plan-stops.js';
import { createHarness, makeEntry, makeJob, makeStep, type Harness } from './planner-harness.js';

const test = suite('answered stops');

const STEP_MS = 5;
const POLL_MS = 700;
const PLAN_MS = 200;
const LIMIT_MS = 30_000;

/** Two polls and what is between them; the lease of the start lasts for twice as long. */
const MAX_HELD_MS = 2_000;

/** When another incarnation has the worker's id, where it does; its clock begins anew. */
const RESTART_MS = 40;
const FIRST_CLOCK_MS = 3_600_000;

const SIZE = { cores: 4, memoryMb: 100, accelerators: 0 };

/** What becomes of the task, and of its worker, after the start. */
interface Scene {
  readonly isCancelled: boolean;
  readonly isRestarted: boolean;
}

const makeReporter = ({ planner, at }: Harness, { isRestarted }: Scene) => {
  return (sentMs: number, receivedMs: number) => {
    const isNext = isRestarted && sentMs >= RESTART_MS;
    const clockMs = isNext ? receivedMs - RESTART_MS : FIRST_CLOCK_MS + receivedMs;
    const bornMs = isNext ? RESTART_MS : 1;
    const report = { bornMs, clockMs, running: [], ended: [] };
    planner.observeReport('w1', { report, sentMs, receivedMs }, at(receivedMs));
  };
};

/** Plans and answers the stops that are due. */
const createStops = ({ planner, at }: Harness) => {
  const answers: { readonly stop: StopAction; readonly atMs: number }[] = [];
  return (nowMs: number, isPlanDue: boolean) => {
    while (answers[0] !== undefined && answers[0].atMs <= nowMs) {
      const { stop } = answers.shift()!;
      planner.observeStop(stop, { kind: 'accepted', clockMs: nowMs }, at(nowMs));
    }
    if (!isPlanDue) return;
    const stops = planner.plan(at(nowMs)).filter((action) => action.kind === 'stop');
    answers.push(...stops.map((stop) => ({ stop, atMs: nowMs + STEP_MS })));
  };
};

/** Sends a start that is not answered, and measures how long its run counts on the worker. */
const measureHeldMs = (scene: Scene) => {
  const harness = createHarness();
  const { planner, at } = harness;
  harness.addWorkers(0, makeEntry('w1'));
  const report = makeReporter(harness, scene);
  report(0, 0);
  harness.submit(makeJob('a', [makeStep({ size: SIZE })]), 1);
  const [start] = harness.planStarts(2);
  if (scene.isCancelled) planner.cancel('a', at(3));
  else planner.observeStart(start!, { kind: 'unknown' }, at(3));
  harness.store();
  if (scene.isRestarted) {
    planner.observeWorkers([makeEntry('w1', { bornMs: RESTART_MS })], at(RESTART_MS + STEP_MS));
    planner.markWorkersRecorded(['w1']);
  }
  const handleStops = createStops(harness);
  let sentMs = RESTART_MS + STEP_MS;
  for (let nowMs = sentMs; nowMs < LIMIT_MS; nowMs += STEP_MS) {
    const isReportDue = nowMs === sentMs + POLL_MS;
    if (isReportDue) {
      report(sentMs, nowMs);
      sentMs = nowMs;
    }
    const lastRun = planner.table.findTask('a.0.0.0')?.lastRun ?? 1;
    handleStops(nowMs, isReportDue || nowMs % PLAN_MS === 0);
    const isStarted = (planner.table.findTask('a.0.0.0')?.lastRun ?? 1) > lastRun;
    const { tasks, orphanedRuns } = planner.table.workers.get('w1')!;
    if (isStarted || tasks.size + orphanedRuns.size === 0) return nowMs;
  }
  return Infinity;
};

const checkHeld = (scene: Scene) => {
  const heldMs = measureHeldMs(scene);
  assert.ok(heldMs < MAX_HELD_MS, `held for ${heldMs} ms`);
};

// Guards against tasks that wait, and capacity that is held, as each answer to a stop that is
// repeated was later than the report that could have shown its effect.
test('a task whose start has no answer starts again once a stop was answered', () =>
  checkHeld({ isCancelled: false, isRestarted: false }));

test('a task whose start has no answer starts again on the next incarnation of its worker', () =>
  checkHeld({ isCancelled: false, isRestarted: true }));

test('a run of an ended job is held no longer than until a report after the answer to its stop', () =>
  checkHeld({ isCancelled: true, isRestarted: false }));

test('a run of an ended job is held no longer by the next incarnation of its worker', () =>
  checkHeld({ isCancelled: true, isRestarted: true }));

test.run();
