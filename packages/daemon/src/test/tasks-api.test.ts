/** Tests of the HTTP interface for tasks. */
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import type { TaskPorts } from '../lib/tasks-api.js';
import { createTasksHandler } from '../lib/tasks-api.js';

const BODY = JSON.stringify({
  team: 'stalls',
  pool: 'p',
  urgency: 'quick',
  taskKind: 'price',
  declared: { cores: 1, memoryMb: 100 },
});

const runWith = async (ports: Partial<TaskPorts>, use: (base: string) => Promise<void>) => {
  const handler = createTasksHandler({
    submit: () => Promise.resolve({ kind: 'accepted' }),
    cancel: () => Promise.resolve({ kind: 'accepted' }),
    explain: (taskId) => ({ kind: 'unknown', taskId }),
    watch: (taskId) => Promise.resolve({ kind: 'unknown', taskId }),
    ...ports,
  });
  const server = createServer((request, response) => {
    if (!handler(request, response)) response.writeHead(418).end();
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  try {
    await use(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
  } finally {
    server.closeAllConnections();
    server.close();
  }
};

const sendTask = (base: string, body: string, requestId = 'r-1') =>
  fetch(`${base}/tasks`, {
    method: 'POST',
    body,
    headers: { 'vanilladock-request-id': requestId },
  });

const test = suite('tasks api');

test('a submission uses the request id as its task id', async () => {
  const submitted: string[] = [];
  const submitTask: TaskPorts['submit'] = (taskId, { urgency }) => {
    submitted.push(`${taskId}/${urgency}`);
    return Promise.resolve({ kind: 'accepted' });
  };
  await runWith({ submit: submitTask }, async (base) => {
    assert.is((await sendTask(base, BODY)).status, 202);
    assert.is((await sendTask(base, '{"team":"x"}')).status, 400);
    assert.is((await sendTask(base, BODY, 'no spaces')).status, 400);
    assert.is((await sendTask(base, 'x'.repeat(70_000))).status, 413);
  });
  assert.equal(submitted, ['r-1/quick']);
});

test('a refusal carries its code, verdict and retry-after', async () => {
  const failure = { code: 'store-unavailable', verdict: 'not-run', message: '' } as const;
  const submitTask: TaskPorts['submit'] = () =>
    Promise.resolve({ kind: 'failed', failure: { ...failure, retryAfterMs: 1_500 } });
  await runWith({ submit: submitTask }, async (base) => {
    const response = await sendTask(base, BODY);
    assert.is(response.status, 503);
    assert.is(response.headers.get('vanilladock-verdict'), 'not-run');
    assert.is(response.headers.get('retry-after'), '2');
  });
});

test('tasks are watched and cancelled by id, and other paths are not handled', async () => {
  const watch: TaskPorts['watch'] = (taskId, waitMs) =>
    Promise.resolve({
      kind: 'finished',
      taskId,
      result: 'succeeded',
      verdict: 'ran',
      reason: `${waitMs}`,
    });
  await runWith({ watch }, async (base) => {
    const explanation = (await (await fetch(`${base}/tasks/t?waitMs=99999`)).json()) as {
      reason: string;
    };
    assert.is(explanation.reason, '30000');
    assert.is((await fetch(`${base}/tasks/t`)).status, 404);
    assert.is((await fetch(`${base}/tasks/t`, { method: 'DELETE' })).status, 202);
    assert.is((await fetch(`${base}/tasks/t`, { method: 'PUT' })).status, 405);
    assert.is((await fetch(`${base}/other`)).status, 418);
  });
});

test.run();
