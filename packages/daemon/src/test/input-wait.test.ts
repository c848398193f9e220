/** How long input may have waited in a process without idle time. */
import { setImmediate, setTimeout } from 'node:timers/promises';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { createInputWait } from '../lib/input-wait.js';

const test = suite('input wait');
const BUSY_MS = 100;

// Guards against a stopping process without processor time that takes calls it cannot answer.
test('a process that is never idle finds that its input may have waited', async () => {
  const inputWait = createInputWait();
  const fromMs = performance.now();
  while (performance.now() - fromMs < BUSY_MS) await setImmediate();
  assert.ok(inputWait.computeWaitMs() >= BUSY_MS);
  await setTimeout(BUSY_MS);
  assert.ok(inputWait.computeWaitMs() < BUSY_MS);
});

test.run();
