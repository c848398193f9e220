/**
 * Three instances and a pool of seven minions, six of which are full. The seventh is unhealthy for some
 * seconds and answers each start with 503, so that none of the jobs that wait begins. Every instance
 * is asked for the queue's `pending` meanwhile.
 */
import {
  BOUNDS,
  loadStandIn,
  sleep,
  startInstances,
  startRecord,
} from '../stand-ins-2/deployment.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const MINIONS = 7;
const JOBS = 8;
const UNHEALTHY_MS = 7_200;
/** A job that was accepted so long ago has to be counted while it has not begun. */
const COUNTED_MS = BOUNDS.visible_ms + 2_000;
const LOOK_EVERY_MS = 300;

const record = startRecord(import.meta.dirname);
const { note, finish, waitUntil } = record;
const { startPlatformStandIn } = await loadStandIn('platform');
const { makeSampleConfig, SAMPLE_HOST, SAMPLE_PREFIXES } = await loadStandIn('sample-config');

const BLOCKER = '00000000000000b1';
const platform = await startPlatformStandIn({
  pools: { stalls: MINIONS, kilns: 2 },
  getTaskBehaviour: (task) =>
    task.startsWith(BLOCKER)
      ? { durationMs: 40_000, isFailing: false, size: { cores: 8, memoryMb: 1_024 } }
      : { durationMs: 1_000, isFailing: false, size: { cores: 1, memoryMb: 128 } },
  random: Math.random,
  downtimeMs: 2_000,
});
const config = makeSampleConfig(1);
// No standby pool, so that no machine is moved.
platform.setConfig({ ...config, services: config.services.filter(({ standby }) => !standby) });
const instances = await startInstances(record, platform, { count: 3 });
await sleep(2_000);

const call = async ({ address }, method, rest, body) => {
  const { request } = await import('node:http');
  const [host, port] = address.split(':');
  const bytes = body === undefined ? undefined : Buffer.from(JSON.stringify(body));
  return new Promise((resolve) => {
    const sent = request(
      {
        host,
        port,
        method,
        path: `${SAMPLE_PREFIXES.stalls}${rest}`,
        headers: {
          host: SAMPLE_HOST,
          'content-type': 'application/json',
          ...(bytes === undefined ? {} : { 'content-length': bytes.length }),
        },
        timeout: 3_000,
      },
      (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('end', () =>
          resolve({ status: response.statusCode, text: Buffer.concat(chunks).toString('utf8') }),
        );
      },
    );
    sent.on('timeout', () => sent.destroy());
    sent.on('error', (error) => resolve({ status: 0, text: String(error) }));
    sent.end(bytes);
  });
};
const countBegun = (id) =>
  platform.listRunEvents().filter(({ task, what }) => what === 'started' && task.startsWith(id))
    .length;

// Fills all minions but one.
const blocker = await call(instances[0], 'POST', BLOCKER, {
  spec: 'blocker',
  steps: [{ count: MINIONS - 1, cpu: 8_000, mem_mb: 1_024, estimate_ms: 40_000 }],
});
note(`POST ${BLOCKER}: ${MINIONS - 1} work items of 8 cores -> ${blocker.status}`);
if (blocker.status !== 200) finish(2, 'could not run: the blocker was not accepted');
await waitUntil(() => countBegun(BLOCKER) === MINIONS - 1, 'the blocker does not start', 10_000);
await sleep(1_500);
const busyIds = new Set(platform.listRunEvents().map(({ workerId }) => workerId));
const free = platform.workers.find(({ pool, id }) => pool === 'stalls' && !busyIds.has(id));
if (free === undefined) finish(2, 'could not run: no minion is free');

let refused = 0;
const { standIn } = free;
let isUnhealthy = false;
free.standIn = {
  ...standIn,
  handle: (request) => {
    if (!isUnhealthy || request.path !== '/run-start') return standIn.handle(request);
    refused += 1;
    note(`minion ${free.id}: run-start ${JSON.parse(request.body).task} -> 503`);
    return { status: 503, body: {} };
  },
};
isUnhealthy = HAS_TROUBLE;
const unhealthyFromMs = performance.now();
note(
  HAS_TROUBLE ? `minion ${free.id} is unhealthy for ${UNHEALTHY_MS} ms` : 'no minion is unhealthy',
);

const jobs = [];
for (let index = 0; index < JOBS; index += 1) {
  const id = `00000000000000a${index}`;
  const { status } = await call(instances[index % 3], 'POST', id, {
    spec: 'small',
    steps: [{ count: 1, cpu: 1_000, mem_mb: 128, estimate_ms: 20_000 }],
  });
  note(`POST ${id}: one work item of 1 core -> ${status}`);
  if (status === 200) jobs.push({ id, acceptedMs: performance.now() });
}
if (jobs.length < JOBS) finish(2, 'could not run: jobs were not accepted');

let broken = 0;
let looks = 0;
while (performance.now() - unhealthyFromMs < UNHEALTHY_MS - LOOK_EVERY_MS) {
  for (const instance of instances) {
    const sentMs = performance.now();
    const { status, text } = await call(instance, 'GET', '');
    if (status === 200) {
      // Those that had not begun when the answer was there, and were accepted long enough before.
      const owed = jobs.filter(
        ({ id, acceptedMs }) => countBegun(id) === 0 && sentMs - acceptedMs > COUNTED_MS,
      ).length;
      const { pending } = JSON.parse(text);
      if (owed > 0) looks += 1;
      const isBroken = pending < owed / 2;
      if (isBroken) broken += 1;
      note(
        `GET pending at ${instance.name} -> ${pending}; accepted over ${COUNTED_MS} ms before and not begun: ${owed}${isBroken ? ' BROKEN' : ''}`,
      );
    }
  }
  await sleep(LOOK_EVERY_MS);
}
const { text: state } = await call(instances[0], 'GET', jobs[0].id);
note(`GET ${jobs[0].id} -> ${state}; its work item has begun ${countBegun(jobs[0].id)} times`);
isUnhealthy = false;
await waitUntil(() => jobs.every(({ id }) => countBegun(id) > 0), 'the jobs do not begin', 15_000);
note('all jobs have begun');
if (HAS_TROUBLE && (refused === 0 || looks === 0))
  finish(2, 'could not run: no job was kept waiting');
finish(broken > 0 ? 1 : 0, broken > 0 ? `MIXED is broken in ${broken} answers` : 'MIXED has held');
