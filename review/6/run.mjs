/**
 * Three instances and a pool of seven minions, one of which is of another kind. A long-running work item
 * that needs that kind is at work there, so that it can move nowhere. A wave makes the machine due for
 * upkeep. A job that needs the same kind is accepted afterwards; the minion has room for it.
 */
import { request as requestHttp } from 'node:http';
import {
  BOUNDS,
  loadStandIn,
  sleep,
  startInstances,
  startRecord,
} from '../stand-ins-2/deployment.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const MINIONS = 7;
const CORES = 8;
/** How long the wave has: `for_s` of the days of the site. */
const WAVE_S = 25;
/** A job has to have nothing running for so long, `finish_s` after the last request. */
const STANDS_MS = 3_000;
const LASTING = '00000000000000c1';
const WAITING = '00000000000000d1';

const record = startRecord(import.meta.dirname);
const { note, finish, waitUntil } = record;
const { startPlatformStandIn } = await loadStandIn('platform');
const { makeSampleConfig, SAMPLE_HOST, SAMPLE_PREFIXES } = await loadStandIn('sample-config');

const platform = await startPlatformStandIn({
  pools: { stalls: MINIONS, kilns: 2 },
  kinds: [...Array.from({ length: MINIONS - 1 }, () => 'a'), 'b'],
  getTaskBehaviour: (task) => ({
    durationMs: task.startsWith(LASTING) ? undefined : 1_000,
    isFailing: false,
    size: { cores: 1, memoryMb: 256 },
  }),
  random: Math.random,
  downtimeMs: BOUNDS.maintenance_s * 1_000,
});
const config = makeSampleConfig(1);
// No standby pool, so that no machine is moved.
platform.setConfig({ ...config, services: config.services.filter(({ standby }) => !standby) });
const instances = await startInstances(record, platform, { count: 3 });
await sleep(2_000);

const call = ({ address }, method, id, body) => {
  const [host, port] = address.split(':');
  const bytes = body === undefined ? undefined : Buffer.from(JSON.stringify(body));
  return new Promise((resolve) => {
    const sent = requestHttp(
      {
        host,
        port,
        method,
        path: `${SAMPLE_PREFIXES.stalls}${id}`,
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
const listEvents = (id) => platform.listRunEvents().filter(({ task }) => task.startsWith(id));
const isRunning = (id) => {
  const events = listEvents(id);
  const starts = events.filter(({ what }) => what === 'started').length;
  const ends = events.filter(({ what }) =>
    ['done', 'failed', 'stopped', 'lapsed', 'lost'].includes(what),
  ).length;
  return starts > ends;
};
const special = platform.workers.find(
  ({ pool, labels }) => pool === 'stalls' && labels.includes('b'),
);

const lasting = await call(instances[0], 'POST', LASTING, {
  spec: 'watch',
  steps: [
    { count: 1, cpu: 1_000, mem_mb: 256, long_running: true, requirements: 'b', may_miss: 1 },
  ],
});
note(`POST ${LASTING}: one work item that lasts and needs a minion of kind b -> ${lasting.status}`);
if (lasting.status !== 200) finish(2, 'could not run: the lasting job was not accepted');
await waitUntil(() => isRunning(LASTING), 'the lasting job does not start', 10_000);
note(`it runs on minion ${special.id}, machine ${special.machine}, the only one of kind b`);
await sleep(3_000);
if (HAS_TROUBLE) {
  const order = { wave: 1, machines: [special.machine], duration_s: WAVE_S, max_count: 1 };
  platform.store.write('keyed.op', 'wave/1', JSON.stringify(order));
  note(`wave 1 ordered: machine ${special.machine} is due within ${WAVE_S} s, one at once`);
}
await sleep(3_000);
const { status } = await call(instances[1], 'POST', WAITING, {
  spec: 'plan',
  steps: [{ count: 1, cpu: 1_000, mem_mb: 256, estimate_ms: 1_000, requirements: 'b' }],
});
note(`POST ${WAITING}: one work item of 1 core that needs a minion of kind b -> ${status}`);
if (status !== 200) finish(2, 'could not run: the job was not accepted');
const lastRequestMs = performance.now();
const judgedFromMs = lastRequestMs + Math.max(BOUNDS.finish_s, WAVE_S) * 1_000;

let stoodSinceMs;
let longestMs = 0;
let lastNoteMs = 0;
while (performance.now() < judgedFromMs + STANDS_MS + 2_000) {
  await sleep(50);
  const nowMs = performance.now();
  const hasBegun = listEvents(WAITING).length > 0;
  if (hasBegun && !HAS_TROUBLE) break;
  const used = (isRunning(LASTING) ? 1 : 0) + (isRunning(WAITING) ? 1 : 0);
  const free = special.state === 'up' && !special.isDraining ? CORES - used : 0;
  const stands = !hasBegun && free >= 2 && used < (MINIONS * CORES) / 2;
  stoodSinceMs = stands && nowMs >= judgedFromMs ? (stoodSinceMs ?? nowMs) : undefined;
  longestMs = Math.max(longestMs, stoodSinceMs === undefined ? 0 : nowMs - stoodSinceMs);
  if (nowMs - lastNoteMs < 3_000) continue;
  lastNoteMs = nowMs;
  const { text } = await call(instances[2], 'GET', WAITING);
  note(
    `GET ${WAITING} -> ${text}; begun: ${hasBegun}; machine ${special.machine} is ${special.state}, ${free} of ${CORES} cores free there, ${used} of ${MINIONS * CORES} of the service in use; wave: ${platform.readWaveStatus(1) ?? 'none'}`,
  );
}
const begun = listEvents(WAITING).length > 0;
note(
  `the job has begun: ${begun}; stood for ${Math.round(longestMs)} ms at the end, with room for it`,
);
const isBroken = longestMs >= STANDS_MS;
finish(isBroken ? 1 : 0, isBroken ? 'LOST is broken' : 'LOST has held');
