/**
 * An entry of another writer, with fields missing, lies among the entries of the minions. It names
 * no minion to use; accepted jobs have to go on.
 */
import { createRecord, makeConfig, startDeployment } from '../stand-ins/deployment.mjs';
import { wait } from '../stand-ins/http.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const HAS_BYTES = process.env.ENTRY === 'bytes';
const TRAFFIC_MS = 12_000;
const FINISH_MS = 14_000;
const INSTANCES = 4;
const ACCEPTED = '/stalls/00000000000000a1';
const record = createRecord(import.meta.dirname);

const minions = Array.from({ length: 4 }, (_, index) => ({
  service: 'stalls',
  machine: `m-${index}`,
  labels: ['a', `r1-${index}`],
  capacity: { cpu: 32_000, mem_mb: 65_536 },
}));
const deployment = await startDeployment({
  instances: INSTANCES,
  minions,
  config: makeConfig(7, { stalls: {} }, [{ name: 'stalls' }]),
  record,
  findWork: () => ({ ms: 2_000, cpu: 1_800, mem_mb: 2_500 }),
});
const { processes, store, callQueue, submit } = deployment;
const step = { count: 4, cpu: 1_800, mem_mb: 2_500, estimate_ms: 2_000 };
const steps = [step, ...[0, 1, 2].map((earlier) => ({ ...step, depends_on: [earlier] }))];
let code = 2;
try {
  if (!(await deployment.waitReady())) throw new Error('the instances did not become ready');
  // Four steps of 2 s one after the other: about 8 s of work.
  if (!(await submit(ACCEPTED, { spec: 'a kiln load', steps }))) throw new Error('not accepted');
  await wait(1_000);
  if (HAS_TROUBLE) {
    // No version, slots, cold_remaining_ms, machine, born, clock_ms or sequence; and a port that is
    // none or, with ENTRY=bytes, an id whose bytes can't be read.
    const entry = {
      service: 'stalls',
      address: HAS_BYTES ? minions[0].stand.address : '127.0.0.1:86210',
      zone: 'derwent',
      state: 'ready',
      capacity: { cpu: 32_000, mem_mb: 65_536, gpu: 0 },
      labels: ['a', 'r1-9'],
    };
    const key = HAS_BYTES ? Buffer.from([0x69, 0x2d, 0xff, 0xfe]) : Buffer.from('i-0099');
    store.write('keyed.servers', key, JSON.stringify(entry));
    record.add('store', { writtenBy: 'another writer', key: key.toString('hex'), entry });
  }
  const untilMs = performance.now() + TRAFFIC_MS;
  for (let count = 2; performance.now() < untilMs; count += 1) {
    const id = count.toString(16).padStart(16, '0');
    const small = { spec: 'a tray', steps: [step] };
    await callQueue(processes[count % INSTANCES], 'POST', `/stalls/${id}`, small);
    await wait(1_000);
  }
  record.add('script', `end of the traffic; jobs are asked for ${FINISH_MS} ms later`);
  await wait(FINISH_MS);
  const answers = [];
  for (const entry of processes) answers.push(await callQueue(entry, 'GET', ACCEPTED));
  const ends = processes.map(({ name, exits }) => ({ name, ends: exits.length }));
  record.add('script', { endsByThemselves: ends });
  // LOST: finish_s after the end of the traffic an accepted job is asked for and gets no answer.
  const isKnown = answers.some(({ status, body }) => status === 200 && body?.state !== undefined);
  code = isKnown ? 0 : 1;
  record.add('script', isKnown ? 'held' : 'BROKEN: LOST');
} catch (error) {
  record.add('script', `could not run: ${error.stack}`);
} finally {
  await deployment.stop();
  record.save();
}
process.exit(code);
