/** How the gateway answers when planners change or do not respond. */
import * as assert from 'uvu/assert';
import { install } from '@sinonjs/fake-timers';
import { suite } from 'uvu';
import type { LogFields } from '../lib/json-log.js';
import { createJobGateway } from '../lib/jobs/job-gateway.js';
import type { JobReply, JobRequest } from '../lib/jobs/job-request.js';

const test = suite('job gateway');

/** Keeps the process alive, as the gateway's timers do not. */
let keepAlive: NodeJS.Timeout;
test.before(() => {
  keepAlive = setInterval(() => {}, 1_000);
});
test.after(() => clearInterval(keepAlive));

const PEER = { id: 'b~1', name: 'b', address: '10.0.0.2:1', cores: 1 };
const OTHER = { id: 'c~1', name: 'c', address: '10.0.0.3:1', cores: 1 };
const SUBMIT = { kind: 'submit', pool: 'stalls', spec: { id: 'a' } } as unknown as JobRequest;
const UNAVAILABLE: JobReply = { kind: 'unavailable', why: 'pool-loading', retryAfterMs: 1_000 };
const REFUSED: JobReply = {
  kind: 'refused',
  cause: 'queue',
  why: 'backlog',
  retryAfterMs: 1_000,
};

const openGateway = (
  replies: readonly JobReply[],
  isKnown = true,
  mayBeOld: () => boolean = () => false,
) => {
  const asked: string[] = [];
  const timeouts: number[] = [];
  const events: LogFields[] = [];
  const record = (fields: LogFields) => void events.push(fields);
  const gateway = createJobGateway({
    findRunner: () => undefined,
    findHolder: () =>
      isKnown
        ? { claim: { duty: 'pool/stalls', holder: PEER.id, token: 1 }, member: PEER }
        : undefined,
    listMembers: () => [PEER, OTHER],
    selfId: 'a~1',
    peers: {
      sendNotice: () => Promise.resolve({ kind: 'silent' }),
      send: async (peer, _, timeoutMs) => {
        asked.push(peer.id);
        timeouts.push(timeoutMs);
        return replies[Math.min(asked.length, replies.length) - 1]!;
      },
      getLastContactMs: () => 0,
      close: () => {},
    },
    mayBeOld,
    log: { info: record, warn: record, error: record },
  });
  return { gateway, asked, timeouts, events };
};

test('a refusal is returned without a retry', async () => {
  const { gateway, asked } = openGateway([REFUSED]);
  assert.equal(await gateway.answer(SUBMIT), REFUSED);
  assert.is(asked.length, 1);
});

test('after a missing reply only an acceptance is final, as a refusal could be wrong', async () => {
  const { gateway } = openGateway([
    { kind: 'unknown', why: 'peer-timeout' },
    REFUSED,
    UNAVAILABLE,
    { kind: 'accepted' },
  ]);
  assert.is((await gateway.answer(SUBMIT)).kind, 'accepted');
});

test('a submission that no planner confirms ends as unknown, never as refused', async () => {
  const { gateway } = openGateway([{ kind: 'unknown', why: 'peer-timeout' }, REFUSED]);
  assert.is((await gateway.answer(SUBMIT)).kind, 'unknown');
});

test('a submission is retried over a short hand-over and refused after a longer one', async () => {
  const short = openGateway([UNAVAILABLE, { kind: 'accepted' }]);
  assert.is((await short.gateway.answer(SUBMIT)).kind, 'accepted');
  const long = openGateway([UNAVAILABLE]);
  assert.equal(await long.gateway.answer(SUBMIT), UNAVAILABLE);
});

// A third attempt starts after two pauses of 150 ms and may last 2,000 ms.
test('a submission of a stopping instance gets its answer before the instance has to exit', async () => {
  const cases = [
    { leftMs: 2_300, attempts: 3 },
    { leftMs: 2_299, attempts: 2 },
  ];
  for (const { leftMs, attempts } of cases) {
    const clock = install({ now: 0 });
    try {
      const { gateway, asked } = openGateway([{ kind: 'unknown', why: 'peer-timeout' }]);
      let repliedMs = Infinity;
      const replying = gateway.answer(SUBMIT, leftMs).then((reply) => {
        repliedMs = performance.now();
        return reply;
      });
      await clock.tickAsync(leftMs);
      assert.is((await replying).kind, 'unknown');
      assert.ok(repliedMs < leftMs);
      assert.is(asked.length, attempts, `with ${leftMs} ms left`);
    } finally {
      clock.uninstall();
    }
  }
});

test('no call to a peer lasts longer than the time that is left for the answer', async () => {
  const { gateway, timeouts } = openGateway([{ kind: 'accepted' }]);
  await gateway.answer(SUBMIT, performance.now() + 400);
  assert.ok(timeouts.every((timeoutMs) => timeoutMs <= 400));
});

test('a request that takes more than one attempt is logged with its id and its last reply', async () => {
  const { gateway, events } = openGateway([UNAVAILABLE, { kind: 'accepted' }]);
  await gateway.answer(SUBMIT);
  assert.equal(
    events.map(({ event, jobId, attempts, holder, outcome }) => [
      event,
      jobId,
      attempts,
      holder,
      outcome,
    ]),
    [['call-retried', 'a', 2, 'b', 'accepted']],
  );
});

test('a peer that knows the planner redirects the request to it', async () => {
  const { gateway, asked } = openGateway([
    { kind: 'elsewhere', holder: OTHER },
    { kind: 'accepted' },
  ]);
  assert.is((await gateway.answer(SUBMIT)).kind, 'accepted');
  assert.equal(asked, ['b~1', 'c~1']);
});

test('a cancel that may have been carried out ends as unknown, not as one that was not run', async () => {
  const cancel = { kind: 'cancel', pool: 'stalls', jobId: 'a' } as const;
  const { gateway } = openGateway([{ kind: 'unknown', why: 'peer-timeout' }, UNAVAILABLE]);
  assert.is((await gateway.answer(cancel)).kind, 'unknown');
});

// Guards against a flood of cancels that is multiplied while the pool can record no more of them.
test('a cancel that cannot succeed soon is not retried', async () => {
  const cancel = { kind: 'cancel', pool: 'stalls', jobId: 'a' } as const;
  const full: JobReply = { kind: 'unavailable', why: 'cancel-not-recorded', retryAfterMs: 10_000 };
  const { gateway, asked } = openGateway([full]);
  assert.equal(await gateway.answer(cancel), full);
  assert.is(asked.length, 1);
});

// Guards against a job that starts after a long pause, as its submission was on its way through it.
test('a submission that was under way in a long pause is not sent again', async () => {
  const cases: readonly JobReply[] = [UNAVAILABLE, { kind: 'elsewhere', holder: OTHER }];
  for (const first of cases) {
    let checks = 0;
    const observeLongPause = () => {
      checks += 1;
      return checks > 1;
    };
    const { gateway, asked } = openGateway([first, { kind: 'accepted' }], true, observeLongPause);
    const reply = await gateway.answer(SUBMIT);
    assert.ok(reply.kind === 'unavailable' && reply.why === 'input-old', first.kind);
    assert.equal(asked, ['b~1']);
  }
});

test.run();
