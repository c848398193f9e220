/** Tests of what crashes say about a task. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import {
  classifyCrash,
  decideGiveUp,
  isMassLoss,
  isSuspect,
  isToBeIsolated,
  type CrashRecord,
} from '../../../lib/jobs/crashes/crash-evidence.js';

const BATCH = { isLasting: false, isGang: false };

const test = suite('crash evidence');

const makeCrash = (machine: string, change: Partial<CrashRecord> = {}): CrashRecord => ({
  workerId: `w-${machine}`,
  bornMs: 1,
  machine,
  isConfirmed: true,
  suspicion: 'recent',
  isAlone: false,
  atMs: 0,
  ...change,
});

test('a single crash never ends a job, and two that others may have caused do not', () => {
  assert.is(decideGiveUp([makeCrash('a', { isAlone: true })]), undefined);
  assert.is(decideGiveUp([makeCrash('a', { isAlone: true }), makeCrash('b')]), undefined);
});

test('a crash of another machine on which only the suspect ran ends its job', () => {
  assert.is(decideGiveUp([makeCrash('a'), makeCrash('b', { isAlone: true })]), 'crashed-alone');
  const same = [makeCrash('a'), makeCrash('a', { isAlone: true })];
  assert.is(decideGiveUp(same), undefined, 'the machine may be the cause');
});

test('a worker that only does not answer is no crash that ends a job', () => {
  const possible = { isAlone: true, isConfirmed: false };
  assert.is(decideGiveUp([makeCrash('a'), makeCrash('b', possible)]), undefined);
  const many = ['b', 'c', 'd', 'e', 'f'].map((machine) => makeCrash(machine, possible));
  assert.is(decideGiveUp([makeCrash('a'), ...many]), undefined);
});

test('crashes in which many workers were lost at once end no job before the limit', () => {
  const mass = ['a', 'b', 'c', 'd'].map((machine) => makeCrash(machine, { suspicion: 'mass' }));
  assert.is(decideGiveUp(mass), undefined);
  assert.is(decideGiveUp([...mass, makeCrash('e', { suspicion: 'mass' })]), 'crash-limit');
});

test('a suspect that crashes alone each time is given up although others crash beside it', () => {
  const alone = { suspicion: 'mass', isAlone: true } as const;
  const once = [makeCrash('a'), makeCrash('b', alone)];
  assert.is(decideGiveUp(once), undefined);
  assert.is(decideGiveUp([...once, makeCrash('c', alone)]), 'crashed-alone');
});

test('crashes that another task explains end a job at the limit, by one that none explains', () => {
  const explained = ['a', 'b', 'c', 'd', 'e'].map((machine) =>
    makeCrash(machine, { suspicion: 'explained' }),
  );
  assert.is(decideGiveUp(explained), undefined);
  assert.is(decideGiveUp([...explained.slice(1), makeCrash('f')]), 'crash-limit');
});

test('a worker that fails under a suspect of an explained crash ends no job', () => {
  const explained = makeCrash('a', { suspicion: 'explained' });
  const alone = makeCrash('b', { isAlone: true });
  assert.is(decideGiveUp([explained, alone]), undefined);
  assert.is(decideGiveUp([explained, alone, makeCrash('c', { isAlone: true })]), 'crashed-alone');
});

test('three unexplained crashes on several machines end a job that never ran alone', () => {
  assert.is(decideGiveUp([makeCrash('a'), makeCrash('b'), makeCrash('c')]), 'crashed-often');
  assert.is(decideGiveUp([makeCrash('a'), makeCrash('a'), makeCrash('a')]), undefined);
});

test('a job is started at most twice more after the third crash, whatever the evidence', () => {
  const kinds = [false, true].flatMap((isAlone) =>
    (['recent', 'earlier', 'mass', 'none'] as const).map((suspicion) => ({ isAlone, suspicion })),
  );
  const unknown = [false, true].map((isAlone) => ({ isAlone, isMomentUnknown: true as const }));
  const findLongest = (crashes: readonly CrashRecord[]): number =>
    decideGiveUp(crashes) !== undefined
      ? crashes.length
      : [...kinds, ...unknown]
          .flatMap((kind) => ['a', 'b'].map((machine) => makeCrash(machine, kind)))
          .reduce((most, crash) => Math.max(most, findLongest([...crashes, crash])), 0);
  const longest = findLongest([]);
  assert.is(longest, 5);
});

test('runs that have gone on for long, and losses of many workers, make no suspects', () => {
  assert.equal(
    [0, 300, 301, 3_999, 4_000, 9_999, 10_000].map((aliveMs) => classifyCrash(aliveMs, false)),
    ['recent', 'recent', 'earlier', 'earlier', 'none', 'none', undefined],
  );
  assert.equal([classifyCrash(0, true), classifyCrash(4_000, true)], ['mass', 'none']);
  assert.equal(
    [isMassLoss(2, false), isMassLoss(3, false), isMassLoss(3, true)],
    [false, true, false],
  );
  assert.not(isSuspect({ crashes: [makeCrash('a', { suspicion: 'none' })] }));
});

test('a suspect of one crash waits for a worker of its own for a limited time only', () => {
  const recent = { crashes: [makeCrash('a', { atMs: 1_000 })] };
  assert.equal(
    [6_999, 7_000].map((nowMs) => isToBeIsolated(recent, BATCH, nowMs)),
    [true, false],
  );
  assert.equal(
    [3_999, 4_000].map((nowMs) => isToBeIsolated(recent, { ...BATCH, isLasting: true }, nowMs)),
    [true, false],
  );
  const earlier = { crashes: [makeCrash('a', { suspicion: 'earlier', atMs: 1_000 })] };
  assert.not(isToBeIsolated(earlier, BATCH, 1_000));
  const twice = { crashes: [makeCrash('a'), makeCrash('b', { isConfirmed: false })] };
  assert.ok(isToBeIsolated(twice, BATCH, 1_000_000));
  const explained = ['a', 'b'].map((machine) => makeCrash(machine, { suspicion: 'explained' }));
  const often = { crashes: [...explained, makeCrash('c', { suspicion: 'mass' })] };
  assert.ok(isToBeIsolated(often, BATCH, 1_000_000));
});

// Guards against lasting tasks that wait for a worker of their own for as long as there is none.
test('a lasting suspect of two crashes waits for a worker of its own for 6 s since the second', () => {
  const crashes = [makeCrash('a'), makeCrash('b', { atMs: 1_000 })];
  const lasting = { isLasting: true, isGang: false };
  assert.ok(isToBeIsolated({ crashes }, lasting, 6_999));
  assert.not(isToBeIsolated({ crashes }, lasting, 7_000));
  assert.ok(isToBeIsolated({ crashes }, BATCH, 60_000));
  assert.ok(isToBeIsolated({ crashes: [...crashes, makeCrash('c')] }, lasting, 60_000));
});

test('crashes of runs that had gone on for long do not count to those that isolate a suspect', () => {
  const crashes = [makeCrash('a'), ...['b', 'c'].map((m) => makeCrash(m, { suspicion: 'none' }))];
  assert.not(isToBeIsolated({ crashes }, { isLasting: true, isGang: false }, 3_000));
});

test.run();
