/** Cancels of jobs of a queue that was sent to another pool, at the planner of its former pool. */
import { install } from '@sinonjs/fake-timers';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { BehaviorSubject } from 'rxjs';
import type { TaskWorkers, WorkerEntry } from 'vanilladock/lib/ports/task-workers.js';
import { createQueueGateway } from '../lib/jobs/queue-gateway.js';
import { startPoolRunner } from '../lib/jobs/pool-runner.js';
import { POLICY, POOL, RUNNER_BASE, SPEC } from './job-fixtures.js';
import { createMemoryStore, NEVER } from './memory-store.js';

const QUEUE = 'pule25.example/tray/';
const TICK_MS = 100;

/** Starts the planner of the former pool, and a gateway whose queue goes to a pool that has the job. */
const openFormerPool = () => {
  const runner = startPoolRunner({
    ...RUNNER_BASE,
    store: createMemoryStore().store,
    workers: { renew: () => NEVER } as unknown as TaskWorkers,
    entries: new BehaviorSubject<ReadonlyMap<string, WorkerEntry>>(new Map()),
  });
  const { answer } = createQueueGateway({
    gateway: {
      answer: async (request) =>
        request.pool === POOL ? runner.answer(request) : { kind: 'cancelled' },
    },
    directory: {
      findPlacement: () => undefined,
      listFormerPools: () => [POOL],
      hasRecorded: () => true,
    },
    mayBeOld: () => false,
  });
  const cancel = (jobId: string) =>
    answer({ kind: 'cancel', pool: 'kilns', jobId }, { queue: QUEUE, version: 2 });
  return { runner, cancel };
};

const test = suite('former pool cancels');

// Guards against a former pool that submissions depend on for as long as jobs are cancelled elsewhere.
test('a cancel of a job in the new pool leaves nothing in the former pool', async () => {
  const clock = install({ now: 0 });
  const { runner, cancel } = openFormerPool();
  await clock.tickAsync(TICK_MS);
  assert.equal(await cancel('a'), { kind: 'cancelled' });
  await clock.tickAsync(TICK_MS);
  const closed = runner.closeQueues([QUEUE], 2);
  await clock.tickAsync(TICK_MS);
  assert.equal(await closed, [QUEUE]);
  const origin = { queue: QUEUE, version: 1 };
  const late = runner.answer({ kind: 'submit', pool: POOL, spec: SPEC, policy: POLICY, origin });
  assert.equal((await late).kind, 'unavailable', 'a late submission under the older version');
  runner.stop();
  clock.uninstall();
});

test.run();
