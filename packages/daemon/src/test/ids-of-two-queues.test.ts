/** Jobs of two queues that send to one pool, under the same id. */
import { install } from '@sinonjs/fake-timers';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { BehaviorSubject } from 'rxjs';
import type { TaskWorkers, WorkerEntry } from 'vanilladock/lib/ports/task-workers.js';
import type { JobRequest } from '../lib/jobs/job-request.js';
import { startPoolRunner } from '../lib/jobs/pool-runner.js';
import { POLICY, POOL, RUNNER_BASE, SPEC } from './job-fixtures.js';
import { createMemoryStore, NEVER } from './memory-store.js';

const TICK_MS = 100;

const test = suite('ids of two queues');

// Guards against an accepted job that never runs, as it is taken for a repeat of another queue's, and
// one that is cancelled through another queue.
test('a job is not taken for one that another queue has under its id', async () => {
  const clock = install({ now: 0 });
  const runner = startPoolRunner({
    ...RUNNER_BASE,
    store: createMemoryStore().store,
    workers: { renew: () => NEVER } as unknown as TaskWorkers,
    entries: new BehaviorSubject<ReadonlyMap<string, WorkerEntry>>(new Map()),
    claim: { duty: `pool/${POOL}`, holder: 'a', token: 1 },
  });
  await clock.tickAsync(TICK_MS);
  const answer = async (request: JobRequest) => {
    const reply = runner.answer(request);
    await clock.tickAsync(TICK_MS);
    return reply;
  };
  const [first, second] = ['/tray/', '/cure/'].map((prefix) => {
    const origin = { queue: `pule25.example${prefix}`, version: 1 };
    const named = { pool: POOL, jobId: SPEC.id, origin };
    return {
      submit: () => answer({ kind: 'submit', pool: POOL, spec: SPEC, policy: POLICY, origin }),
      lookUp: () => answer({ kind: 'lookup', pool: POOL, jobId: SPEC.id, ...origin }),
      query: () => answer({ kind: 'status', ...named }),
      cancel: () => answer({ kind: 'cancel', ...named }),
    };
  });
  assert.equal(await first!.submit(), { kind: 'accepted' });
  assert.equal(await second!.submit(), { kind: 'foreign-job' });
  assert.equal(await second!.query(), { kind: 'no-such-job' });
  assert.equal(await second!.cancel(), { kind: 'no-such-job' });
  assert.equal(await second!.lookUp(), { kind: 'no-such-job' });
  assert.equal(await first!.submit(), { kind: 'accepted' });
  assert.equal(await first!.lookUp(), { kind: 'accepted' });
  assert.equal(await first!.query(), { kind: 'state', state: 'queued' });
  assert.equal(await first!.cancel(), { kind: 'cancelled' });
  runner.stop();
  clock.uninstall();
});

test.run();
