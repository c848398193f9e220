/** Tests of time limits in a process that is paused: its lateness is not the other side's silence. */
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { Worker } from 'node:worker_threads';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { createHttpClient } from '../lib/http-client.js';
import { SILENT_LOG } from './job-fixtures.js';
import { startRunningTimeLimit } from '../lib/running-time-limit.js';

const test = suite('running time limit');

/** Starts a server in a thread of its own that answers each call after a delay. */
const SERVER_CODE = `
const { createServer } = require('node:http');
const { parentPort, workerData } = require('node:worker_threads');
const server = createServer((request, response) => {
  request.resume();
  request.on('end', () => setTimeout(() => response.end('{}'), workerData));
});
server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));
`;

/** Keeps the event loop of this process busy. */
const stopEventLoop = (ms: number) => {
  const endMs = performance.now() + ms;
  while (performance.now() < endMs);
};

const sendDuringPause = async (answerAfterMs: number, pauseMs: number) => {
  const server = new Worker(SERVER_CODE, { eval: true, workerData: answerAfterMs });
  const [port] = (await once(server, 'message')) as [number];
  const client = createHttpClient(SILENT_LOG);
  const call = { address: `127.0.0.1:${port}`, method: 'GET', path: '/', timeoutMs: 150 } as const;
  const outcome = client.send(call);
  await delay(60);
  // Timers that are due run before the event loop polls the sockets again.
  setImmediate(() => stopEventLoop(pauseMs));
  const { kind } = await outcome;
  client.close();
  await server.terminate();
  return kind;
};

test('an answer that came while the process was paused is not taken as missing', async () => {
  assert.is(await sendDuringPause(80, 400), 'answer');
});

test('a server that does not answer in time is still found silent', async () => {
  assert.is(await sendDuringPause(5_000, 10), 'none');
});

test('a limit that ends in a pause is extended once by the time that was lost', async () => {
  const startedMs = performance.now();
  const expired = new Promise<number>((resolve) => {
    startRunningTimeLimit(100, () => resolve(performance.now() - startedMs));
  });
  stopEventLoop(180);
  const tookMs = await expired;
  assert.ok(tookMs >= 250 && tookMs < 400, `expired after ${tookMs} ms`);
});

test('a cancelled limit has no effect', async () => {
  let isExpired = false;
  const limit = startRunningTimeLimit(20, () => {
    isExpired = true;
  });
  limit.cancel();
  await delay(60);
  assert.not(isExpired);
});

test('a call to a silent listener ends at its limit', async () => {
  const server = createServer(() => {});
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const client = createHttpClient(SILENT_LOG);
  const startedMs = performance.now();
  const call = { address: `127.0.0.1:${port}`, method: 'GET', path: '/', timeoutMs: 100 } as const;
  assert.is((await client.send(call)).kind, 'none');
  assert.ok(performance.now() - startedMs >= 95);
  client.close();
  server.closeAllConnections();
  server.close();
});

test.run();
