/** Tests which answers the caller of the measurement `faults` accepts as complete. */
import { Agent, createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { buildAnswerBody } from '@vanilladock/stand-ins';
import { sendCall, type FaultCall, type FaultResult } from '../lib/faults-call.js';

const ANSWER_BYTES = 150_000;
const CALLS = 300;

const test = suite('faults call');

const listResults = async (caller: FaultCall['caller'], delayMs: number) => {
  const server = createServer((request, response) => {
    request.resume();
    const body = buildAnswerBody(String(request.headers['vanilladock-request-id']), ANSWER_BYTES);
    setTimeout(() => response.end(body), delayMs);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const agent = new Agent({ keepAlive: true });
  const results: FaultResult[] = [];
  for (let index = 0; index < CALLS; index += 10) {
    const calls = Array.from({ length: 10 }, (_, offset) =>
      sendCall(
        address,
        {
          id: `none-${index + offset}`,
          method: 'GET',
          headers: {},
          bodyBytes: 0,
          answerBytes: ANSWER_BYTES,
          caller,
        },
        agent,
      ),
    );
    results.push(...(await Promise.all(calls)));
  }
  agent.destroy();
  server.closeAllConnections();
  server.close();
  return results;
};

test('an answer whose caller left before its end is never complete with a wrong body', async () => {
  const results = [
    ...(await listResults('leaves', 0)),
    ...(await listResults('leaves', 3)),
    ...(await listResults('leaves', 4)),
  ];
  const wrong = results.filter(({ isWhole, isRight }) => isWhole && !isRight);
  assert.is(wrong.length, 0, `${wrong.length} of ${results.length}`);
});

test('an answer that was read to its end is complete and right', async () => {
  const results = await listResults('usual', 0);
  assert.ok(results.every(({ isWhole, isRight, status }) => isWhole && isRight && status === 200));
});

test.run();
