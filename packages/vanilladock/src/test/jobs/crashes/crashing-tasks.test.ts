/** Tests that a task that crashes each worker that starts it is found and given up. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { openCrashScene } from './crash-scenes.js';
import { createHarness, makeEntry, makeJob, makeStep } from '../planner-harness.js';

const test = suite('crashing tasks');

/** Starts of such a task that are allowed: three, and two more after the third crash. */
const MAX_STARTS = 5;

const isSound = (taskKeys: readonly string[]) => (id: string) =>
  !taskKeys.some((key) => key.startsWith(`${id}.`));

const isOfOtherJob = (deadly: readonly string[], taskKey: string) =>
  deadly.every((key) => key.split('.')[0] !== taskKey.split('.')[0]);

/** Plays a scene and returns what became of the deadly tasks and of all other jobs. */
const runDeadly = (
  deadly: readonly string[],
  options: Omit<Parameters<typeof openCrashScene>[0], 'isDeadly'>,
  playMs = 20_000,
) => {
  const scene = openCrashScene({ ...options, isDeadly: (key) => deadly.includes(key) });
  scene.play(playMs);
  scene.drain(25_000);
  const failed = scene.listJobs('failed');
  const others = new Map<string, number>();
  scene.crashes
    .flatMap(({ taskKeys }) => taskKeys.filter((key) => isOfOtherJob(deadly, key)))
    .forEach((key) => others.set(key, (others.get(key) ?? 0) + 1));
  return {
    scene,
    deadlyCrashes: deadly.map(scene.countCrashes),
    soundFailed: failed.filter(isSound(deadly)),
    deadlyActive: deadly.filter((key) => !failed.some((id) => key.startsWith(`${id}.`))),
    lostTwice: [...others].filter(([, count]) => count > 1).map(([key]) => key),
  };
};

test('a task that crashes worker after worker is given up, and the jobs lost beside it complete', () => {
  const { scene, deadlyCrashes, ...result } = runDeadly(['batch-20.0.0.0'], { workers: 6 });
  assert.equal(result.soundFailed, []);
  assert.equal(result.deadlyActive, []);
  assert.ok(deadlyCrashes[0]! <= 3, `crashes: ${deadlyCrashes[0]}`);
  assert.is(scene.listJobs('completed').length, 79);
  assert.equal(result.lostTwice, [], 'no neighbour travels with it');
});

test('a task that crashes its workers after it has worked for a while is given up', () => {
  const { deadlyCrashes, ...result } = runDeadly(['batch-20.0.0.3'], {
    workers: 6,
    crashAfterMs: 700,
  });
  assert.equal([result.soundFailed, result.deadlyActive], [[], []]);
  assert.ok(deadlyCrashes[0]! <= MAX_STARTS, `crashes: ${deadlyCrashes[0]}`);
});

test('a lasting task that crashes its workers is given up, and lasting jobs beside it go on', () => {
  const { scene, deadlyCrashes, ...result } = runDeadly(['lasting-2.0.0.1'], {
    workers: 8,
    lastingJobs: 4,
  });
  assert.equal([result.soundFailed, result.deadlyActive], [[], []]);
  assert.ok(deadlyCrashes[0]! <= MAX_STARTS, `crashes: ${deadlyCrashes[0]}`);
  assert.equal(scene.listJobs('running'), ['lasting-0', 'lasting-1', 'lasting-3']);
});

test('several tasks that crash workers at once are each given up, and no other job is', () => {
  const deadly = [5, 7, 9, 12, 20, 21, 30, 45, 46].map((number) => `batch-${number}.0.0.0`);
  const { scene, deadlyCrashes, ...result } = runDeadly(deadly, { workers: 9 });
  assert.equal([result.soundFailed, result.deadlyActive], [[], []]);
  assert.ok(Math.max(...deadlyCrashes) <= MAX_STARTS, `crashes: ${deadlyCrashes.join()}`);
  assert.is(scene.listJobs('completed').length, 71);
});

test('a task that crashes the only worker of its pool is given up', () => {
  const { deadlyCrashes, ...result } = runDeadly(['batch-2.0.0.0'], {
    workers: 1,
    jobsPerSecond: 1,
  });
  assert.equal([result.soundFailed, result.deadlyActive], [[], []]);
  assert.ok(deadlyCrashes[0]! <= MAX_STARTS, `crashes: ${deadlyCrashes[0]}`);
});

test('a gang of which a member crashes its worker is given up', () => {
  const scene = openCrashScene({ workers: 6, isDeadly: (key) => key === 'gang.0.0.2' });
  scene.play(3_000);
  scene.submit(makeJob('gang', [makeStep({ count: 4, isGang: true, maxPerWorker: 1 })]));
  scene.play(10_000);
  scene.drain(30_000);
  assert.equal(scene.listJobs('failed'), ['gang']);
  assert.ok(scene.countCrashes('gang.0.0.2') <= MAX_STARTS);
});

test('a task that needs tickets and crashes its workers is given up', () => {
  const advisor = {
    decideMs: 20,
    perWorkerMs: 2,
    isAllowed: (id: string) => !['w0', 'w1'].includes(id),
  };
  const { scene, deadlyCrashes, ...result } = runDeadly(['batch-20.0.0.0'], {
    workers: 6,
    jobsPerSecond: 2,
    advisor,
  });
  assert.equal([result.soundFailed, result.deadlyActive], [[], []]);
  assert.ok(deadlyCrashes[0]! <= MAX_STARTS, `crashes: ${deadlyCrashes[0]}`);
  assert.equal(scene.listJobs('queued').concat(scene.listJobs('running')), []);
});

test('a suspect whose crash is not stored keeps no worker from others', () => {
  const { planner, at, addWorkers, submit, planStarts, accept, store } = createHarness();
  const ids = ['w1', 'w22', 'w333'];
  addWorkers(0, ...ids.map((id) => makeEntry(id)));
  submit(makeJob('a'), 1);
  const [start] = planStarts(2);
  accept([start!], 3);
  planner.observeIncarnationEnd(start!.worker.id, 1, at(10));
  planner.plan(at(300));
  const isIsolated = () =>
    [...planner.table.workers.values()].some(({ isolation }) => isolation !== undefined);
  assert.not(isIsolated());
  store();
  planner.plan(at(600));
  assert.ok(isIsolated());
});

const runMassLosses = (isDark: boolean) => {
  const scene = openCrashScene({ workers: 10, lastingJobs: 4, isDeadly: () => false });
  [5_000, 10_000, 15_000, 20_000].forEach((atMs) => {
    scene.play(atMs);
    scene
      .listWorkerIds()
      .slice(0, 4)
      .forEach((id) => scene.crash(id, isDark));
  });
  scene.drain(30_000);
  assert.equal(scene.listJobs('failed'), []);
  assert.is(scene.listJobs('completed').length, 80);
  assert.is(scene.listJobs('running').length, 4);
};

test('no job is given up when two fifths of the workers crash four times', () =>
  runMassLosses(false));

// Guards against a sound job given up: workers that lose power at once are missed up to 0.7 s apart.
test('no job is given up when two fifths of the workers lose power four times', () =>
  runMassLosses(true));

// Guards against sound jobs that last given up once enough workers have crashed in their lifetime.
test('no lasting job is given up as single workers crash now and then', () => {
  const scene = openCrashScene({
    workers: 10,
    lastingJobs: 4,
    jobsPerSecond: 0.5,
    downMs: 1_500,
    isDeadly: () => false,
  });
  let random = 1;
  for (let count = 0; count < 150; count += 1) {
    random = (random * 48_271) % 2_147_483_647;
    scene.play(scene.getNowMs() + (random % 10_000));
    const ids = scene.listWorkerIds();
    scene.crash(ids[random % ids.length]!);
  }
  assert.not(scene.events.some(({ event }) => event === 'job-given-up'));
});

test('no job is given up for a machine that crashes again and again', () => {
  const scene = openCrashScene({ workers: 6, lastingJobs: 2, isDeadly: () => false, downMs: 500 });
  const findFlapping = () =>
    [...scene.harness.planner.table.workers.values()].find(({ entry }) => entry.instance === 'm-w0')
      ?.entry.id;
  for (let atMs = 3_000; atMs < 25_000; atMs += 1_500) {
    scene.play(atMs);
    const id = findFlapping();
    if (id !== undefined && scene.listWorkerIds().includes(id)) scene.crash(id);
  }
  scene.drain(20_000);
  assert.equal(scene.listJobs('failed'), []);
  assert.equal(scene.listJobs('queued'), []);
});

test.run();
