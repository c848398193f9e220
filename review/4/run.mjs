/**
 * A minion starts again under its id and is given work; then it answers nothing for some seconds
 * while it works on, and the machine that plans the queue is stopped by SIGTERM.
 */
import { createRecord, makeConfig, startDeployment } from '../stand-ins/deployment.mjs';
import { wait } from '../stand-ins/http.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const UPTIME_MS = 12_000;
const RESTART_MS = 300;
const MUTE_MS = 7_200;
const JOBS = 4;
const WORK_MS = 10_000;
/** The planner may hear of the new life before the work is given; then another round is played. */
const ROUNDS = 3;
const record = createRecord(import.meta.dirname);

const minions = Array.from({ length: 10 }, (_, index) => ({
  service: 'stalls',
  machine: `m-${index}`,
  labels: ['a', `r1-${index % 4}`],
  capacity: { cpu: 32_000, mem_mb: 65_536 },
}));
const [minion] = minions;
const running = new Map();
const twice = [];
let hasBegun = false;
const deployment = await startDeployment({
  instances: 4,
  minions,
  config: makeConfig(7, { stalls: {} }, [{ name: 'stalls' }]),
  record: {
    ...record,
    add: (who, fields) => {
      record.add(who, fields);
      if (who !== 'minion' || fields.task === undefined) return;
      const others = running.get(fields.task) ?? new Set();
      running.set(fields.task, others);
      if (fields.what === 'started') {
        hasBegun ||= fields.machine === 'm-0';
        if (others.size > 0) twice.push(fields.task);
        others.add(fields.minion);
      } else if (fields.what !== 'stop-ordered') others.delete(fields.minion);
    },
  },
  findWork: () => ({ ms: WORK_MS, cpu: 1_800, mem_mb: 2_500 }),
});
const { submit } = deployment;
const step = { count: 2, cpu: 1_800, mem_mb: 2_500, estimate_ms: WORK_MS };
const playRound = async (round) => {
  hasBegun = false;
  if (HAS_TROUBLE) {
    const before = minion.stand;
    before.crash();
    await wait(RESTART_MS);
    await deployment.startLife(minion, before);
    record.add('script', `${before.id} has started again under its id`);
  }
  for (let number = 1; number <= JOBS; number += 1) {
    const path = `/stalls/0000000000000${round}a${number}`;
    if (!(await submit(path, { spec: 'a tray', steps: [step] }))) throw new Error('not accepted');
  }
  for (let tries = 0; tries < 40 && !hasBegun; tries += 1) await wait(25);
  if (!hasBegun) {
    record.add('script', 'nothing was started on m-0');
    return;
  }
  if (HAS_TROUBLE) {
    await wait(500);
    minion.stand.mute(MUTE_MS);
    deployment.kill(deployment.findHolder('pool/stalls'), process.env.SIGNAL ?? 'SIGTERM');
  }
  await wait(WORK_MS + 2_000);
};
let code = 2;
try {
  if (!(await deployment.waitReady())) throw new Error('the instances did not become ready');
  for (let round = 1; round <= ROUNDS && twice.length === 0; round += 1) {
    record.add('script', `round ${round}`);
    await wait(UPTIME_MS);
    await playRound(round);
  }
  record.add('script', { startedWhileRunningElsewhere: twice });
  // TWICE: two runs of one work item at the same time, on minions that are up.
  code = twice.length > 0 ? 1 : 0;
  record.add('script', code === 1 ? 'BROKEN: TWICE' : 'held');
} catch (error) {
  record.add('script', `could not run: ${error.stack}`);
} finally {
  await deployment.stop();
  record.save();
}
process.exit(code);
