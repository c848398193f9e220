/** Validation of callers' bytes on the wire, and forwarding of headers and trailers. */
import { createServer, type IncomingMessage } from 'node:http';
import type { AddressInfo } from 'node:net';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { sendCall, sendRaw, startHarness, type Harness } from './routing-harness.js';

const test = suite('headers');
const HEAD = 'POST /prices/x HTTP/1.1\r\nHost: x\r\nvanilladock-request-id: raw\r\n';
let harness: Harness;
let echo: ReturnType<typeof createServer>;
let received: IncomingMessage | undefined;

test.before(async () => {
  harness = await startHarness({ upstreams: 1 });
  echo = createServer((request, response) => {
    received = request;
    request.resume();
    request.on('end', () => {
      response.writeHead(200, [
        ...['Connection', 'keep-alive, x-private', 'X-Private', 'a', 'Set-Cookie', 'a=1'],
        ...['Set-Cookie', 'b=2', 'vanilladock-verdict', 'not-run', 'Trailer', 'x-sum'],
        ...['Transfer-Encoding', 'chunked', 'Keep-Alive', 'timeout=5'],
      ]);
      response.write('body');
      response.addTrailers({ 'x-sum': '7', 'vanilladock-verdict': 'not-run' });
      response.end();
    });
  });
  await new Promise<void>((resolve) => {
    echo.listen(0, '127.0.0.1', resolve);
  });
});
test.after(async () => {
  await harness.close();
  echo.closeAllConnections();
  echo.close();
});

/** Requests that are ambiguous, malformed or exceed a limit. */
const REFUSED: Readonly<Record<string, string>> = {
  'both lengths': `${HEAD}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`,
  'two lengths': `${HEAD}Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcd`,
  'a length given as a list': `${HEAD}Content-Length: 4, 4\r\n\r\nabcd`,
  'a signed length': `${HEAD}Content-Length: +4\r\n\r\nabcd`,
  'an unsupported coding': `${HEAD}Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n`,
  'an obscured coding': `${HEAD}Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n`,
  'a coding given twice': `${HEAD}Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n`,
  'a space before the colon': `${HEAD}Content-Length : 4\r\n\r\nabcd`,
  'a folded header': `${HEAD}X-A: b\r\n c\r\n\r\n`,
  'no host': 'GET /prices/x HTTP/1.1\r\n\r\n',
  'a long head': `${HEAD}X-A: ${'a'.repeat(20_000)}\r\n\r\n`,
  'an unknown expectation': `${HEAD}Expect: 200-ok\r\nContent-Length: 0\r\n\r\n`,
  'a malformed deadline': `${HEAD}vanilladock-deadline-ms: soon\r\nContent-Length: 0\r\n\r\n`,
  'a long request id': `GET /prices/x HTTP/1.1\r\nHost: x\r\nvanilladock-request-id: ${'a'.repeat(201)}\r\n\r\n`,
};

Object.entries(REFUSED).forEach(([name, bytes]) => {
  test(`${name} is rejected as a bad request that did not run`, async () => {
    const answer = await sendRaw(
      harness.address,
      bytes.replace('Host', 'Connection: close\r\nHost'),
    );
    assert.match(answer, /^HTTP\/1\.1 4(00|31) /);
    assert.match(answer, /vanilladock-code: bad-request/);
    assert.match(answer, /vanilladock-verdict: not-run/);
    assert.is(harness.countRuns('raw'), 0);
  });
});

['a', '-1', '4;'].forEach((size) => {
  test(`a request with the malformed chunk size ${size} does not run`, async () => {
    const head = `${HEAD}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n`;
    await sendRaw(harness.address, `${head}${size}\nabcd\r\n0\r\n\r\n`);
    assert.is(harness.countRuns('raw'), 0);
  });
});

test('upgrades and CONNECT are rejected with a code', async () => {
  const upgrade =
    'GET /prices/x HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n';
  assert.match(
    await sendRaw(harness.address, upgrade),
    /501 [^]*vanilladock-code: upgrade-refused/,
  );
  const tunnel = 'CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n';
  assert.match(await sendRaw(harness.address, tunnel), /501 [^]*vanilladock-code: upgrade-refused/);
});

test('hop-by-hop headers are removed and others are forwarded unchanged', async () => {
  const { port } = echo.address() as AddressInfo;
  harness.setAddress(0, `127.0.0.1:${port}`);
  const result = await sendCall(harness.address, {
    id: 'hop',
    method: 'POST',
    body: 'abc',
    headers: {
      connection: 'close, x-hop',
      'x-hop': '1',
      te: 'trailers',
      'keep-alive': '5',
      'proxy-authorization': 'secret',
      'x-end': '2',
    },
  });
  assert.is(received?.headers['x-hop'], undefined);
  assert.is(received?.headers.te, undefined);
  assert.is(received?.headers['proxy-authorization'], undefined);
  assert.is(received?.headers['x-end'], '2');
  assert.is(received?.headers['vanilladock-request-id'], 'hop');
  assert.is(received?.headers['content-length'], '3');
  assert.is(result.headers['x-private'], undefined);
  assert.equal(result.headers['set-cookie'], ['a=1', 'b=2']);
  assert.is(result.verdict, 'ran');
  assert.equal(result.trailers, { 'x-sum': '7' });
  assert.is(result.body, 'body');
  harness.setAddress(0, harness.proxies[0]?.address ?? '');
});

test('a request without an id gets one', async () => {
  const answer = await fetch(`http://${harness.address}/prices/x`);
  assert.match(((await answer.json()) as { id: string }).id, /^[0-9a-f-]{36}$/);
});

test('HEAD has the length and no body', async () => {
  const headers = { 'stand-in-answer-bytes': '700' };
  const result = await harness.call({ id: 'head', method: 'HEAD', headers });
  assert.is(result.status, 200);
  assert.is(result.headers['content-length'], '700');
  assert.is(result.body, '');
});

test('100-continue is answered once the request has a place, and not before a refusal', async () => {
  const expect = `${HEAD}Expect: 100-continue\r\nConnection: close\r\n`;
  const accepted = await sendRaw(harness.address, `${expect}Content-Length: 4\r\n\r\nabcd`);
  assert.match(accepted, /^HTTP\/1\.1 100 Continue\r\n\r\nHTTP\/1\.1 200 /);
  const rejected = await sendRaw(harness.address, `${expect}Content-Length: 99999999\r\n\r\n`);
  assert.match(rejected, /^HTTP\/1\.1 413 /);
});

test('a draining entry closes the connections of its callers', async () => {
  const draining = await startHarness({ upstreams: 1, isDraining: () => true });
  const good = await draining.call({ id: 'good' });
  assert.is(good.headers.connection, 'close');
  const bad = await draining.call({ id: 'bad', path: '/none' });
  assert.is(bad.headers.connection, 'close');
  await draining.close();
});

test.run();
