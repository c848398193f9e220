/** Times of the steps in the journal of waves. */
import { install } from '@sinonjs/fake-timers';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { createWaveJournal } from '../lib/jobs/wave-journal.js';
import { SILENT_LOG } from './job-fixtures.js';
import { createMemoryStore } from './memory-store.js';

const test = suite('wave journal');

// Guards against ends that are recorded too early or never, by holders that live for a second.
test('only steps of earlier holders have the time of the last order before', async () => {
  const clock = install({ now: 0 });
  const { store } = createMemoryStore();
  const open = async (token: number) => {
    const journal = createWaveJournal(store, token, SILENT_LOG);
    const loaded = journal.load();
    await clock.tickAsync(1_000);
    await loaded;
    return journal;
  };
  const write = async (journal: Awaited<ReturnType<typeof open>>, instance: string) => {
    const written = journal.write(1, instance, { kind: 'begun', atMs: performance.now() });
    await clock.tickAsync(1_000);
    await written;
  };
  await write(await open(1), 'm1');
  const second = await open(2);
  await write(second, 'm2');
  second.observeEarlierOrders(1_500);
  const times = [...second.listSteps(1)].map(([id, step]) => [id, 'atMs' in step && step.atMs]);
  clock.uninstall();
  assert.equal(times, [
    ['m1', 1_500],
    ['m2', 3_000],
  ]);
});

test.run();
