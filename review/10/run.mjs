/**
 * Three instances and a pool of seven minions, each with a work item that serves and one of them with
 * one that fills beside it. What the filling one does to the other grows within a second, as the pages
 * say; the order to pace it down meets a reset of its channel. The tail of the serving one is watched
 * for some seconds afterwards, when nothing is disturbed any more.
 */
import { connect, createServer } from 'node:net';
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
const TARGET_MS = 100;
/** Tail without the filling work item, and what that adds at full pace, before and after. */
const BASE_MS = 40;
const LIGHT_MS = 80;
const HEAVY_MS = 400;
/** Nothing is judged for so long after the disruption; the pages ask for 3 s. */
const CALM_AFTER_MS = 6_000;
const WATCH_MS = 12_000;
const SERVING = '00000000000000c1';
const FILLING = '00000000000000f1';

const record = startRecord(import.meta.dirname);
const { note, finish, waitUntil } = record;
const { startPlatformStandIn } = await loadStandIn('platform');
const { makeSampleConfig, SAMPLE_HOST, SAMPLE_PREFIXES } = await loadStandIn('sample-config');

const platform = await startPlatformStandIn({
  pools: { stalls: MINIONS, kilns: 2 },
  getTaskBehaviour: (task) => ({
    durationMs: task.startsWith(SERVING) ? undefined : 80_000,
    isFailing: false,
    size: { cores: task.startsWith(SERVING) ? 4 : 0, memoryMb: 512 },
  }),
  random: Math.random,
  downtimeMs: 2_000,
});
const config = makeSampleConfig(1);
// No standby pool, so that no machine is moved.
platform.setConfig({ ...config, services: config.services.filter(({ standby }) => !standby) });

let addedMs = LIGHT_MS;
/** Pace of the filling work item in its minion, in percent; undefined while it does not run. */
let pace;
let fillingWorker;
let isArmed = false;
let resetAtMs;
const computeTail = () => BASE_MS + (addedMs * (pace ?? 0)) / 100;

/** Puts a proxy before a minion, which can reset a channel instead of passing an order on. */
const addProxy = async (worker) => {
  const [host, port] = worker.server.address.split(':');
  const server = createServer((client) => {
    const upstream = connect(Number(port), host);
    [client, upstream].forEach((socket) => socket.setNoDelay(true).on('error', () => {}));
    client.on('data', (piece) => {
      if (isArmed && piece.toString('latin1').startsWith('POST /pace')) {
        isArmed = false;
        resetAtMs = performance.now();
        note(`the channel is reset with an order of pace on its way to minion ${worker.id}`);
        client.resetAndDestroy();
        upstream.destroy();
        return;
      }
      upstream.write(piece);
    });
    upstream.on('data', (piece) => client.write(piece));
    client.on('close', () => upstream.destroy());
    upstream.on('close', () => client.destroy());
  });
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
  worker.server = { ...worker.server, address: `127.0.0.1:${server.address().port}` };
};
/** Has a minion follow orders of pace, and report the tail of the work item that serves. */
const addPace = (worker) => {
  const { standIn } = worker;
  worker.standIn = {
    ...standIn,
    handle: async (call) => {
      const answer = await standIn.handle(call);
      if (answer.status !== 200) return answer;
      if (call.path === '/run-start') {
        const { task } = JSON.parse(call.body);
        if (!task.startsWith(FILLING)) return answer;
        fillingWorker = worker;
        pace = 100;
        note(`minion ${worker.id} starts ${task}`);
      }
      if (call.path === '/pace') {
        const { task, percent } = JSON.parse(call.body);
        if (task.startsWith(FILLING)) pace = percent;
        note(`minion ${worker.id}: pace of ${task} is ${percent}; tail ${computeTail()} ms`);
      }
      if (call.path !== '/hold') return answer;
      const running = answer.body.running.map(([task, run, saved, percent]) => {
        const isServing = task.startsWith(SERVING);
        const tail = worker === fillingWorker ? computeTail() : BASE_MS;
        return [task, run, saved, percent, isServing ? Math.round(tail) : 0];
      });
      return { ...answer, body: { ...answer.body, running } };
    },
  };
};
for (const worker of platform.workers) {
  await addProxy(worker);
  addPace(worker);
}
await sleep(1_500);
const instances = await startInstances(record, platform, { count: 3 });
await sleep(2_000);

const submit = ({ address }, id, step) => {
  const [host, port] = address.split(':');
  const body = Buffer.from(JSON.stringify({ spec: 'work', steps: [step] }));
  return new Promise((resolve) => {
    const sent = requestHttp(
      {
        host,
        port,
        method: 'POST',
        path: `${SAMPLE_PREFIXES.stalls}${id}`,
        headers: {
          host: SAMPLE_HOST,
          'content-type': 'application/json',
          'content-length': body.length,
        },
      },
      (response) => {
        response.resume();
        response.on('end', () => resolve(response.statusCode));
      },
    );
    sent.on('error', () => resolve(0));
    sent.end(body);
  });
};
const countStarted = (id) =>
  platform.listRunEvents().filter(({ task, what }) => what === 'started' && task.startsWith(id))
    .length;

const serving = await submit(instances[0], SERVING, {
  count: MINIONS,
  cpu: 4_000,
  mem_mb: 512,
  long_running: true,
  anti_affinity: 1,
  image: 'web',
  target_ms: TARGET_MS,
});
note(`POST ${SERVING}: ${MINIONS} work items that last, target ${TARGET_MS} ms -> ${serving}`);
await waitUntil(() => countStarted(SERVING) === MINIONS, 'the serving job does not start', 10_000);
const filling = await submit(instances[1], FILLING, {
  count: 1,
  cpu: 2_000,
  mem_mb: 512,
  estimate_ms: 80_000,
  image: 'batch',
  fills: true,
});
note(`POST ${FILLING}: one work item that fills -> ${filling}`);
await waitUntil(() => countStarted(FILLING) === 1, 'the filling job does not start', 10_000);
await sleep(6_000);
note(`tail ${computeTail()} ms with the filling work item at ${pace} percent`);

addedMs = HEAVY_MS;
isArmed = HAS_TROUBLE;
const changedAtMs = performance.now();
note(
  `from now on the filling work item adds ${HEAVY_MS} ms at full pace; tail ${computeTail()} ms`,
);
if (HAS_TROUBLE) await waitUntil(() => resetAtMs !== undefined, 'no order of pace', 10_000);
const judgedFromMs = (resetAtMs ?? changedAtMs) + CALM_AFTER_MS;
let overSinceMs;
let longestMs = 0;
let lastNoteMs = 0;
while (performance.now() < judgedFromMs + WATCH_MS) {
  const nowMs = performance.now();
  const isHarmed = nowMs >= judgedFromMs && computeTail() > TARGET_MS && pace > 0;
  overSinceMs = isHarmed ? (overSinceMs ?? nowMs) : undefined;
  longestMs = Math.max(longestMs, isHarmed ? nowMs - overSinceMs : 0);
  if (nowMs - lastNoteMs > 2_000) {
    lastNoteMs = nowMs;
    note(`tail ${computeTail()} ms, target ${TARGET_MS} ms, filling work item at ${pace} percent`);
  }
  await sleep(50);
}
note(`longest time over the target on end, once calm: ${Math.round(longestMs)} ms`);
const isBroken = longestMs >= BOUNDS.harm_ms;
finish(isBroken ? 1 : 0, isBroken ? 'HARM is broken' : 'HARM has held');
