/** What a planner says of jobs that its successor has accepted, while it does not know of that one. */
import { install } from '@sinonjs/fake-timers';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { BehaviorSubject } from 'rxjs';
import type { TaskWorkers, WorkerEntry } from 'vanilladock/lib/ports/task-workers.js';
import { startPoolRunner } from '../lib/jobs/pool-runner.js';
import { POLICY, POOL, RUNNER_BASE, SPEC } from './job-fixtures.js';
import { createMemoryStore, NEVER } from './memory-store.js';

const TICK_MS = 100;

const test = suite('superseded planner');

// Guards against a 410 for an accepted job from an instance that has lost the store.
test('a planner whose claim is not in force does not say that a job does not exist', async () => {
  const clock = install({ now: 0 });
  const { store } = createMemoryStore();
  let isFirstInForce = true;
  const startRunner = (token: number, isInForce: () => boolean) =>
    startPoolRunner({
      ...RUNNER_BASE,
      store,
      workers: { renew: () => NEVER } as unknown as TaskWorkers,
      entries: new BehaviorSubject<ReadonlyMap<string, WorkerEntry>>(new Map()),
      claim: { duty: `pool/${POOL}`, holder: `${token}`, token },
      isInForce,
    });
  const first = startRunner(1, () => isFirstInForce);
  await clock.tickAsync(TICK_MS);
  const status = { kind: 'status', pool: POOL, jobId: 'a' } as const;
  assert.equal(await first.answer(status), { kind: 'no-such-job' });
  isFirstInForce = false;
  const second = startRunner(2, () => true);
  await clock.tickAsync(TICK_MS);
  const accepted = second.answer({ kind: 'submit', pool: POOL, spec: SPEC, policy: POLICY });
  await clock.tickAsync(TICK_MS);
  assert.equal(await accepted, { kind: 'accepted' });
  assert.is((await first.answer(status)).kind, 'unavailable');
  first.stop();
  second.stop();
  clock.uninstall();
});

test.run();
