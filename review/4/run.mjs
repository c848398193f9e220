/** Two of eight minions crash, a few seconds apart, each under the same work item of a sound job. */
import { createRecord, makeConfig, startDeployment } from '../stand-ins/deployment.mjs';
import { wait } from '../stand-ins/http.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const CRASHES = 2;
const DOWN_MS = 4_500;
const JOB = '00000000000000a1';
const ITEM = `${JOB}.0.0.0`;
const MAY_MISS = 1;
const COUNT = 5;
const record = createRecord(import.meta.dirname);

const minions = Array.from({ length: 8 }, (_, index) => ({
  service: 'stalls',
  machine: `m-${index}`,
  labels: ['a', `r1-${index % 4}`],
  capacity: { cpu: 32_000, mem_mb: 65_536 },
}));
const ends = [];
const deployment = await startDeployment({
  instances: 3,
  minions,
  config: makeConfig(7, { stalls: {} }, [{ name: 'stalls' }]),
  record: {
    ...record,
    add: (who, fields) => {
      if (['stopped', 'lapsed', 'failed'].includes(fields.what)) ends.push(fields);
      record.add(who, fields);
    },
  },
  findWork: () => ({ ms: Infinity, cpu: 2_600, mem_mb: 8_700 }),
});
const { processes, callQueue, submit } = deployment;
const findMinion = () =>
  minions.find(({ stand }) => stand.isUp() && stand.listRuns().some(({ task }) => task === ITEM));
const waitAtWork = async () => {
  for (let tries = 0; tries < 200; tries += 1) {
    const minion = findMinion();
    if (minion !== undefined) return minion;
    await wait(50);
  }
  throw new Error('the work item did not start');
};
let code = 2;
try {
  if (!(await deployment.waitReady())) throw new Error('the instances did not become ready');
  const step = { count: COUNT, cpu: 2_600, mem_mb: 8_700, long_running: true, may_miss: MAY_MISS };
  if (!(await submit(`/stalls/${JOB}`, { spec: 'a brine log', steps: [step] }))) {
    throw new Error('the job was not accepted');
  }
  for (let crash = 1; crash <= CRASHES; crash += 1) {
    const minion = await waitAtWork();
    await wait(1_500);
    if (HAS_TROUBLE) {
      minion.stand.crash();
      setTimeout(() => void deployment.startLife(minion), DOWN_MS);
      await wait(3_000);
    }
  }
  await wait(12_000);
  const { body } = await callQueue(processes[0], 'GET', `/stalls/${JOB}`);
  const failed = ends.filter(({ what }) => what === 'failed').length;
  const stopped = ends.filter(({ what }) => what === 'stopped').length;
  record.add('script', { state: body?.state, endsFailed: failed, endsStopped: stopped });
  // AVAIL: orders end work items at work while so many others of the step are away; nobody has
  // cancelled the job, and no minion drains.
  code = stopped > MAY_MISS ? 1 : 0;
  record.add('script', code === 1 ? 'BROKEN: AVAIL' : 'held');
  if (body?.state === 'failed' && failed === 0) record.add('script', 'and BROKEN: LOST');
} catch (error) {
  record.add('script', `could not run: ${error.stack}`);
} finally {
  await deployment.stop();
  record.save();
}
process.exit(code);
