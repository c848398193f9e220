/**
 * Connections to upstreams and callers: unresponsive ones, limits, memory, callers that disconnect.
 */
import { request as sendRequest } from 'node:http';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { startUpstream } from '@vanilladock/stand-ins';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import {
  createConnectionPool,
  MAX_IDLE_NON_IDEMPOTENT_MS,
} from '../lib/request/connection-pool.js';
import { startHarness, waitFor } from './routing-harness.js';

const LONG_RESPONSE_BYTES = 40_000;

const test = suite('connections');

test('an idempotent request is answered over a new connection when reused ones are unresponsive', async () => {
  const harness = await startHarness({ upstreams: 1 });
  await harness.call({ id: 'warm' });
  harness.proxies[0]?.dropEstablishedTraffic();
  const result = await harness.call({ id: 'after' });
  assert.is(result.status, 200);
  assert.is(JSON.parse(result.body).id, 'after');
  assert.ok(harness.lines.some(({ event }) => event === 'connection-silent'));
  assert.is(harness.table.listStatus()[0]?.state, 'healthy');
  await harness.close();
});

test('a non-idempotent request on an unresponsive connection may have run at its deadline', async () => {
  const harness = await startHarness({ upstreams: 1 });
  await harness.call({ id: 'warm' });
  harness.proxies[0]?.dropEstablishedTraffic();
  const headers = { 'vanilladock-deadline-ms': '200' };
  const result = await harness.call({ id: 'order', method: 'POST', body: 'x', headers });
  assert.is(result.verdict, 'may-have-run');
  assert.is(result.code, 'upstream-timeout');
  assert.is(harness.countRuns('order'), 0);
  const nextResult = await harness.call({ id: 'next', method: 'POST', body: 'x' });
  assert.is(nextResult.status, 200);
  await harness.close();
});

test('a connection that was idle for too long is not reused', async () => {
  const upstream = await startUpstream({ service: 'prices', slots: 8, workMs: 0 });
  const pool = createConnectionPool(upstream.address, 4);
  const first = (await pool.take(MAX_IDLE_NON_IDEMPOTENT_MS).result).unwrap();
  const answer = new Promise<void>((resolve) => {
    sendRequest({ agent: first.agent, path: '/x' }, (message) => {
      message.resume();
      message.once('close', resolve);
    }).end();
  });
  await answer;
  await waitFor(() => pool.countIdle() === 1);
  const reused = (await pool.take(MAX_IDLE_NON_IDEMPOTENT_MS).result).unwrap();
  assert.is(reused.socket, first.socket);
  assert.is(reused.isReused, true);
  reused.destroy();
  await waitFor(() => pool.countOpen() === 0);
  const fresh = (await pool.take(0).result).unwrap();
  assert.is(fresh.isReused, false);
  pool.close();
  await upstream.close();
});

test('a pool opens no more connections than its limit and serves waiters in order', async () => {
  const upstream = await startUpstream({ service: 'prices', slots: 8, workMs: 0 });
  const pool = createConnectionPool(upstream.address, 2);
  const [first, second] = await Promise.all([pool.take(0).result, pool.take(0).result]);
  const third = pool.take(0);
  const fourth = pool.take(0);
  assert.is(pool.countOpen(), 2);
  fourth.cancel();
  assert.is((await fourth.result).isErr(), true);
  first?.unwrap().destroy();
  assert.is((await third.result).isOk(), true);
  assert.is(pool.countOpen(), 2);
  second?.unwrap().destroy();
  pool.close();
  await upstream.close();
});

test('a refused connection is an error and is not counted as open', async () => {
  const pool = createConnectionPool('127.0.0.1:1', 2);
  const result = await pool.take(0).result;
  assert.is(result.isErr(), true);
  assert.is(pool.countOpen(), 0);
});

test('a disconnecting caller aborts its request at the upstream and frees its slot', async () => {
  const harness = await startHarness({ upstreams: 1, workMs: 5_000 });
  const headers = { 'vanilladock-request-id': 'left' };
  const outgoing = sendRequest(`http://${harness.address}/prices/x`, { agent: false, headers });
  outgoing.on('error', () => {});
  outgoing.end();
  await waitFor(() => harness.countRuns('left') === 1);
  assert.is(harness.table.listStatus()[0]?.inFlight, 1);
  outgoing.destroy();
  await waitFor(() => harness.upstreams[0]?.listAbandoned().has('left') === true);
  await waitFor(() => harness.table.listStatus()[0]?.inFlight === 0);
  await harness.close();
});

test('a request whose body is truncated does not run', async () => {
  const harness = await startHarness({ upstreams: 1 });
  const [host = '', port] = harness.address.split(':');
  const socket = connect({ host, port: Number(port) });
  socket.write('POST /prices/x HTTP/1.1\r\nHost: x\r\nvanilladock-request-id: cut\r\n');
  socket.write('Content-Length: 1000\r\n\r\nonly this');
  await waitFor(() => harness.lines.some(({ event }) => event === 'route'));
  socket.destroy();
  await waitFor(() => harness.lines.some(({ code }) => code === 'caller-left'));
  assert.is(harness.countRuns('cut'), 0);
  await harness.close();
});

test('an upstream that reads nothing causes back-pressure on the caller', async () => {
  const size = 64 * 1024 * 1024;
  const stuck = createServer((socket) => socket.pause().on('error', () => {}));
  const sockets: Socket[] = [];
  stuck.on('connection', (socket) => sockets.push(socket));
  await new Promise<void>((resolve) => {
    stuck.listen(0, '127.0.0.1', resolve);
  });
  const { port } = stuck.address() as AddressInfo;
  const harness = await startHarness({ upstreams: 1, maxBodyBytes: size });
  harness.setAddress(0, `127.0.0.1:${port}`);
  const outgoing = sendRequest(`http://${harness.address}/prices/x`, {
    agent: false,
    method: 'POST',
    headers: { 'content-length': size },
  });
  outgoing.on('error', () => {});
  outgoing.write(Buffer.alloc(size));
  await waitFor(() => (outgoing.socket?.bytesWritten ?? 0) > 0);
  await waitFor(() => sockets.length > 0);
  await new Promise((resolve) => {
    setTimeout(resolve, 300);
  });
  const acceptedBytes = size - (outgoing.socket?.writableLength ?? 0);
  assert.ok(acceptedBytes < size, 'the caller could write everything');
  outgoing.destroy();
  await harness.close();
  sockets.forEach((socket) => socket.destroy());
  stuck.close();
});

test('a body of 64 MiB arrives completely', async () => {
  const size = 64 * 1024 * 1024;
  const harness = await startHarness({ upstreams: 1, maxBodyBytes: size });
  const body = Buffer.alloc(size);
  const result = await harness.call({ id: 'large', method: 'POST', body });
  assert.equal(JSON.parse(result.body), { service: 'prices', id: 'large', length: size });
  await harness.close();
});

test('a slow caller causes back-pressure on the upstream', async () => {
  const harness = await startHarness({ upstreams: 1 });
  const size = 64 * 1024 * 1024;
  const headers = { 'stand-in-answer': 'chunked', 'stand-in-answer-bytes': String(size) };
  const outgoing = sendRequest(`http://${harness.address}/prices/x`, { agent: false, headers });
  const read = new Promise<number>((resolve) => {
    outgoing.on('response', (answer) => {
      let bytes = 0;
      answer.pause();
      setTimeout(() => {
        const written = harness.upstreams[0]?.countWrittenBytes() ?? 0;
        assert.ok(written < size / 2, `${written} bytes were read from the upstream`);
        answer.on('data', (chunk: Buffer) => {
          bytes += chunk.length;
        });
        answer.once('end', () => resolve(bytes));
        answer.resume();
      }, 300);
    });
  });
  outgoing.end();
  assert.is(await read, size);
  await harness.close();
});

test('a streamed body over the limit is rejected before the upstream gets its end', async () => {
  const harness = await startHarness({ upstreams: 1, maxBodyBytes: 1000 });
  const headers = { 'transfer-encoding': 'chunked' };
  const body = 'x'.repeat(5000);
  const streamed = await harness.call({ id: 'long', method: 'POST', body, headers });
  assert.is(streamed.code, 'body-too-large');
  assert.is(harness.countRuns('long'), 0);
  const declared = await harness.call({ id: 'declared', method: 'POST', body });
  assert.is(declared.status, 413);
  assert.is(declared.verdict, 'not-run');
  await harness.close();
});

test('a body too long to be buffered is not sent twice', async () => {
  const harness = await startHarness({ upstreams: 1 });
  const headers = { 'stand-in-fault': 'reset-before-answer' };
  const body = 'x'.repeat(200_000);
  const result = await harness.call({ id: 'held', method: 'PUT', body, headers });
  assert.is(result.verdict, 'may-have-run');
  assert.is(harness.lines.filter(({ event }) => event === 'route').length, 1);
  await harness.close();
});

test('responses without framing and responses to other requests are not forwarded', async () => {
  const harness = await startHarness();
  const unframed = await harness.call({ id: 'u', headers: { 'stand-in-answer': 'unframed' } });
  assert.is(unframed.code, 'upstream-truncated');
  assert.is(unframed.verdict, 'ran');
  const headers = { 'stand-in-answer': 'other-id' };
  const other = await harness.call({ id: 'o', method: 'POST', body: 'x', headers });
  assert.is(other.code, 'upstream-reset');
  assert.is(other.verdict, 'may-have-run');
  await harness.close();
});

['cut-chunked', 'short'].forEach((kind) => {
  test(`an upstream's ${kind} response never appears complete`, async () => {
    const harness = await startHarness();
    const headers = { 'stand-in-answer': kind, 'stand-in-answer-bytes': '3000' };
    const result = await harness.call({ id: kind, headers });
    assert.is(result.isWhole, false);
    assert.is(harness.countRuns(kind), 1);
    await harness.close();
  });
});

/** Starts an upstream that responds to each chunk of a request with raw bytes. */
const startRawUpstream = async (makeResponse: (id: string) => Buffer) => {
  const server = createServer((socket) => {
    socket.on('data', (bytes) => {
      const id = /vanilladock-request-id: *(\S+)/i.exec(bytes.toString('latin1'))?.[1] ?? '';
      socket.write(makeResponse(id));
    });
    socket.on('error', () => {});
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return { server, address: `127.0.0.1:${(server.address() as AddressInfo).port}` };
};

// Guards against a corrupt response that looks complete: a response to no request is in the middle.
test('a response that is longer than it declared is not forwarded as complete', async () => {
  const harness = await startHarness({ upstreams: 1 });
  const strayResponse = 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray';
  const raw = await startRawUpstream((id) => {
    const body = Buffer.alloc(LONG_RESPONSE_BYTES, `${id}\n`).toString();
    const head = `HTTP/1.1 200 OK\r\nVanilladock-Request-Id: ${id}\r\nContent-Length: ${body.length}\r\n\r\n`;
    const middle = body.length / 2;
    return Buffer.from(`${head}${body.slice(0, middle)}${strayResponse}${body.slice(middle)}`);
  });
  harness.setAddress(0, raw.address);
  const result = await harness.call({ id: 'mixed' });
  raw.server.close();
  await harness.close();
  assert.ok(result.status !== 200 || !result.isWhole, 'the caller sees a complete response');
});

test.run();
