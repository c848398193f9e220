/** Errors that should not occur, in the port to the workers and in the planner, with fake timers. */
import { install } from '@sinonjs/fake-timers';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { BehaviorSubject } from 'rxjs';
import type { RenewOutcome, TaskWorkers, WorkerEntry } from 'vanilladock/lib/ports/task-workers.js';
import type { LogFields } from '../lib/json-log.js';
import { startPoolRunner } from '../lib/jobs/pool-runner.js';
import { ENTRY, POLICY, POOL, RUNNER_BASE, SPEC } from './job-fixtures.js';
import { CALL_MS, createMemoryStore, waitFor } from './memory-store.js';

const SECOND_MS = 1_000;

const test = suite('errors of a pool runner');

const makeReport = (): RenewOutcome => ({
  kind: 'report',
  report: { bornMs: 1, clockMs: Math.round(performance.now()), running: [], ended: [] },
});

/** Runs a pool with two workers, of which `w1` answers renewals by `answerFirst`. */
const runPool = async (answerFirst: () => RenewOutcome) => {
  const clock = install({ now: 0 });
  const unhandled: unknown[] = [];
  const recordUnhandled = (error: unknown) => void unhandled.push(error);
  process.on('unhandledRejection', recordUnhandled);
  process.on('uncaughtException', recordUnhandled);
  const lines: LogFields[] = [];
  const record = (fields: LogFields) => void lines.push(fields);
  const lost: string[] = [];
  const starts: string[] = [];
  const workers = {
    renew: async ({ id }: { readonly id: string }) => {
      await waitFor(CALL_MS);
      return id === 'w1' ? answerFirst() : makeReport();
    },
    startTask: async ({ id }: { readonly id: string }) => {
      starts.push(id);
      await waitFor(CALL_MS);
      return { kind: 'accepted', clockMs: Math.round(performance.now()) };
    },
  } as unknown as TaskWorkers;
  const entries = ['w1', 'w2'].map((id): [string, WorkerEntry] => [id, { ...ENTRY, id }]);
  const runner = startPoolRunner({
    ...RUNNER_BASE,
    store: createMemoryStore().store,
    workers,
    entries: new BehaviorSubject<ReadonlyMap<string, WorkerEntry>>(new Map(entries)),
    log: { info: record, warn: record, error: record },
    handleLost: (why) => void lost.push(why),
  });
  await clock.tickAsync(SECOND_MS);
  void runner.answer({ kind: 'submit', pool: POOL, spec: SPEC, policy: POLICY });
  await clock.tickAsync(5 * SECOND_MS);
  runner.stop();
  clock.uninstall();
  // Rejections without a handler are found once the queue of microtasks is empty.
  await new Promise((resolve) => {
    setTimeout(resolve, 1);
  });
  process.off('unhandledRejection', recordUnhandled);
  process.off('uncaughtException', recordUnhandled);
  const listEvents = (event: string) => lines.filter((line) => line.event === event);
  return { unhandled, lost, starts, listEvents };
};

// Guards against a queue that is dead, as a call to one worker ends the planner's process.
test('a worker whose calls fail is unresponsive, and the others get the tasks', async () => {
  const { unhandled, lost, starts, listEvents } = await runPool(() => {
    throw new Error('planted');
  });
  assert.equal(unhandled, []);
  assert.equal(lost, []);
  assert.ok(starts.length > 0 && starts.every((id) => id === 'w2'));
  assert.ok(listEvents('worker-call-failed').length > 0);
  assert.ok(listEvents('worker-call-failed').every(({ worker }) => worker === 'w1'));
  assert.is(listEvents('worker-silent').length, 1);
});

// Guards against a process that ends with all its pools, as the planner of one fails.
test('an error of the planner gives up its pool once, and is logged with its cause', async () => {
  const { unhandled, lost, listEvents } = await runPool(
    () => ({ kind: 'report', report: { clockMs: 1 } }) as unknown as RenewOutcome,
  );
  assert.equal(unhandled, []);
  assert.equal(lost, ['planner-failed']);
  assert.equal(
    listEvents('planner-failed').map(({ where }) => where),
    ['report'],
  );
  assert.match(String(listEvents('planner-failed')[0]?.stack), /observe-report/);
});

test.run();
