/** How requests about the jobs of a queue are answered that lives in several pools. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import type { JobReply, JobRequest } from '../lib/jobs/job-request.js';
import { createQueueGateway, type QueueRequest } from '../lib/jobs/queue-gateway.js';
import { POLICY, SPEC } from './job-fixtures.js';

const test = suite('queue gateway');

const ORIGIN = { queue: 'pule25.example/tray/', version: 8 };
const STATUS: QueueRequest = { kind: 'status', pool: 'kilns', jobId: 'a' };
const CANCEL: QueueRequest = { kind: 'cancel', pool: 'kilns', jobId: 'a' };
const SUBMIT: QueueRequest = { kind: 'submit', pool: 'kilns', spec: SPEC, policy: POLICY };
const RUNNING: JobReply = { kind: 'state', state: 'running' };
const UNKNOWN_JOB: JobReply = { kind: 'no-such-job' };
const UNAVAILABLE: JobReply = { kind: 'unavailable', why: 'pool-loading', retryAfterMs: 1_000 };

/**
 * Opens a gateway whose queue is sent to `kilns` and was sent to `stalls` before, unless `formerPools`
 * says otherwise; `replies` has what each pool answers to each kind of request, in the form POOL KIND.
 */
const openGateway = (
  replies: Readonly<Record<string, JobReply>>,
  formerPools: readonly string[] = ['stalls'],
  placedVersion: number | 'unrecorded' = 8,
  isOld = false,
) => {
  const isRecorded = placedVersion !== 'unrecorded';
  const asked: JobRequest[] = [];
  const gateway = createQueueGateway({
    gateway: {
      answer: (request) => {
        asked.push(request);
        return Promise.resolve(replies[`${request.pool} ${request.kind}`] ?? UNKNOWN_JOB);
      },
    },
    directory: {
      findPlacement: () => (isRecorded ? { version: placedVersion, formerPools } : undefined),
      listFormerPools: () => formerPools,
      hasRecorded: () => isRecorded,
    },
    mayBeOld: () => isOld,
  });
  const answer = (request: QueueRequest) => gateway.answer(request, ORIGIN);
  return { answer, listAsked: () => asked.map(({ pool, kind }) => `${pool} ${kind}`), asked };
};

/** Opens a gateway that may not know yet of all pools that the queue was sent to. */
const openUnrecorded = (replies: Readonly<Record<string, JobReply>> = {}) =>
  openGateway(replies, ['stalls'], 'unrecorded');

// Guards against a job that is lost to its caller, as its queue is sent to another pool now.
test('a job is found in a former pool of its queue, and cancelled there', async () => {
  const { answer } = openGateway({
    'stalls status': RUNNING,
    'stalls cancel': { kind: 'cancelled' },
  });
  assert.equal(await answer(STATUS), RUNNING);
  assert.equal(await answer(CANCEL), { kind: 'cancelled' });
});

test('a job that a former pool has is not waited for in one that cannot be reached', async () => {
  const { answer } = openGateway({ 'stalls status': RUNNING, 'kilns status': UNAVAILABLE });
  assert.equal(await answer(STATUS), RUNNING);
});

test('a job is said not to exist only when every pool says so', async () => {
  assert.equal(await openGateway({}).answer(STATUS), UNKNOWN_JOB);
  const silent = openGateway({ 'stalls status': UNAVAILABLE });
  assert.equal(await silent.answer(STATUS), UNAVAILABLE);
  assert.is((await openUnrecorded().answer(STATUS)).kind, 'unavailable');
  const known = openUnrecorded({ 'stalls status': RUNNING });
  assert.equal(await known.answer(STATUS), RUNNING, 'in a pool that it knows of');
});

test('a queue that was never sent elsewhere costs one request', async () => {
  const { answer, listAsked } = openGateway({ 'kilns submit': { kind: 'accepted' } }, []);
  await answer(STATUS);
  await answer(SUBMIT);
  assert.equal(listAsked(), ['kilns status', 'kilns submit']);
});

// Guards against a job that runs twice, as a repeated submission reaches the new pool of its queue.
test('a submission that a former pool has accepted is handed in to no other', async () => {
  const { answer, listAsked } = openGateway({ 'stalls lookup': { kind: 'accepted' } });
  assert.equal(await answer(SUBMIT), { kind: 'accepted' });
  assert.equal(listAsked(), ['stalls lookup']);
});

test('a submission goes on under the recorded version once no former pool has it', async () => {
  const { answer, asked } = openGateway({ 'kilns submit': { kind: 'accepted' } }, ['stalls'], 7);
  assert.equal(await answer(SUBMIT), { kind: 'accepted' });
  const [lookup, submit] = asked;
  assert.ok(lookup?.kind === 'lookup' && lookup.version === 7 && lookup.queue === ORIGIN.queue);
  assert.ok(submit?.kind === 'submit' && submit.origin?.version === 7);
});

test('a submission is refused as not run while a former pool or the records are unavailable', async () => {
  const silent = openGateway({ 'stalls lookup': { kind: 'unknown', why: 'peer-timeout' } });
  assert.is((await silent.answer(SUBMIT)).kind, 'unavailable');
  assert.equal(silent.listAsked(), ['stalls lookup']);
  const keepAlive = setInterval(() => {}, 100);
  const unrecorded = openUnrecorded();
  assert.is((await unrecorded.answer(SUBMIT)).kind, 'unavailable');
  assert.equal(unrecorded.asked, []);
  clearInterval(keepAlive);
});

// Guards against a job that starts in the new pool of its queue after it was cancelled in the former.
test('a submission whose job was cancelled in a former pool is refused', async () => {
  const refused = {
    kind: 'refused',
    cause: 'queue',
    why: 'cancelled',
    retryAfterMs: undefined,
  } as const;
  const { answer, listAsked } = openGateway({ 'stalls lookup': refused });
  assert.equal(await answer(SUBMIT), refused);
  assert.equal(listAsked(), ['stalls lookup']);
});

test('a cancel names its queue and version to each pool, so that an older one is not confirmed', async () => {
  const { answer, asked } = openGateway({});
  assert.equal(await answer(CANCEL), UNKNOWN_JOB);
  assert.equal(
    asked.map((request) => (request.kind === 'cancel' ? request.origin : undefined)),
    [ORIGIN, ORIGIN],
  );
});

// Guards against a 410 for a job in a pool that was recorded only after the pools were asked.
test('what pools said before the version was recorded does not mean that no job exists', async () => {
  let isRecorded = false;
  const { answer } = createQueueGateway({
    gateway: {
      answer: () => {
        isRecorded = true;
        return Promise.resolve(UNKNOWN_JOB);
      },
    },
    directory: {
      findPlacement: () => undefined,
      listFormerPools: () => (isRecorded ? ['stalls'] : []),
      hasRecorded: () => isRecorded,
    },
    mayBeOld: () => false,
  });
  assert.is((await answer(CANCEL, ORIGIN)).kind, 'unavailable');
  isRecorded = false;
  assert.is((await answer(STATUS, ORIGIN)).kind, 'unavailable');
  assert.equal(await answer(CANCEL, ORIGIN), UNKNOWN_JOB);
});

// Guards against a job that starts after a pause so long that its cancel is forgotten.
test('a submission that may be old is refused as not run, and other requests go on', async () => {
  const { answer, listAsked } = openGateway({}, [], 8, true);
  assert.is((await answer(SUBMIT)).kind, 'unavailable');
  assert.equal(await answer(CANCEL), UNKNOWN_JOB);
  assert.equal(listAsked(), ['kilns cancel']);
});

test('the pending jobs of a queue are counted in all its pools', async () => {
  const pending: QueueRequest = { kind: 'pending', pool: 'kilns', route: 'r', queue: ORIGIN.queue };
  const { answer } = openGateway({
    'kilns pending': { kind: 'pending', count: 2 },
    'stalls pending': { kind: 'pending', count: 3 },
  });
  assert.equal(await answer(pending), { kind: 'pending', count: 5 });
  const silent = openGateway({
    'kilns pending': { kind: 'pending', count: 2 },
    'stalls pending': UNAVAILABLE,
  });
  assert.equal(await silent.answer(pending), UNAVAILABLE);
});

test.run();
