/**
 * A new version of the config removes a route and adds one with the same host and prefix that sends
 * the queue to another service, while a job that was accepted before runs.
 */
import { createRecord, makeConfig, startDeployment } from '../stand-ins/deployment.mjs';
import { wait } from '../stand-ins/http.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const CONFIG_APPLY_MS = 2_000;
const VISIBLE_MS = 3_000;
const JOB = '/tray/00000000000000a1';
const record = createRecord(import.meta.dirname);

const minions = Array.from({ length: 8 }, (_, index) => ({
  service: index < 4 ? 'stalls' : 'kilns',
  machine: `m-${index}`,
  labels: ['a', `r1-${index % 4}`],
  capacity: { cpu: 32_000, mem_mb: 65_536 },
}));
const services = [{ name: 'stalls' }, { name: 'kilns' }];
const makeVersion = (version, name, service) => {
  const config = makeConfig(version, { [service]: {} }, services);
  const routes = config.routes.map((route) => ({
    ...route,
    name,
    path_prefix: '/tray/',
    timeout_ms: 3_000 + version,
  }));
  return { ...config, routes };
};
const running = new Map();
const twice = [];
const deployment = await startDeployment({
  instances: 3,
  minions,
  config: makeVersion(7, 'r-tray', 'stalls'),
  record: {
    ...record,
    add: (who, fields) => {
      record.add(who, fields);
      if (who !== 'minion' || fields.task === undefined) return;
      const others = running.get(fields.task) ?? new Set();
      running.set(fields.task, others);
      if (fields.what === 'started') {
        if (others.size > 0) twice.push(fields.task);
        others.add(fields.minion);
      } else if (fields.what !== 'stop-ordered') others.delete(fields.minion);
    },
  },
  findWork: () => ({ ms: 25_000, cpu: 1_800, mem_mb: 2_500 }),
});
const { processes, store, callQueue, submit } = deployment;
const step = { count: 2, cpu: 1_800, mem_mb: 2_500, estimate_ms: 25_000 };
const job = { spec: 'a tray', steps: [step] };
let code = 2;
try {
  if (!(await deployment.waitReady())) throw new Error('the instances did not become ready');
  if (!(await submit(JOB, job))) throw new Error('the job was not accepted');
  await wait(VISIBLE_MS);
  const moved = ['r-tray-2', 'kilns'];
  const config = makeVersion(8, ...(HAS_TROUBLE ? moved : ['r-tray', 'stalls']));
  store.write('keyed.op', 'config', JSON.stringify(config));
  record.add('operator', { version: 8, routes: config.routes });
  await wait(CONFIG_APPLY_MS + 1_000);
  const answers = [];
  for (const entry of processes) answers.push(await callQueue(entry, 'GET', JOB));
  // The same request arrives once more, seconds after its 2xx; it remains one job.
  await callQueue(processes[1], 'POST', JOB, job);
  await wait(4_000);
  record.add('script', { startedWhileRunningElsewhere: twice });
  // LOST: a GET for an accepted job that nobody has cancelled is answered 410.
  code = answers.some(({ status }) => status === 410) ? 1 : 0;
  record.add('script', code === 1 ? 'BROKEN: LOST' : 'held');
  if (twice.length > 0) record.add('script', 'and BROKEN: TWICE');
} catch (error) {
  record.add('script', `could not run: ${error.stack}`);
} finally {
  await deployment.stop();
  record.save();
}
process.exit(code);
