/** Planners with one task and two workers, whose reports may come from any incarnation of them. */
import type { EndedTask, RunningTask } from '../../lib/ports/task-workers.js';
import {
  createHarness,
  makeEntry,
  makeJob,
  POLICY,
  WALL_MS,
  type Harness,
} from './planner-harness.js';

/** Lists the ids of workers that may hold leases. */
export const listIds = (holders: readonly { readonly id: string }[]) => holders.map(({ id }) => id);

/** The job `a`, which has one task. */
export const RECORD = { spec: makeJob('a'), policy: POLICY, acceptedAtMs: WALL_MS };
export const TASK = 'a.0.0.0';

/** A report of the worker's incarnation `bornMs`, whose clock started at `clockStartMs`. */
interface BornReport {
  readonly bornMs: number;
  readonly running?: readonly RunningTask[];
  readonly ended?: readonly EndedTask[];
  readonly sentMs?: number;
  readonly clockStartMs?: number;
}

/** Has a planner read a report. */
export const reportBorn = (
  harness: Harness,
  workerId: string,
  nowMs: number,
  source: BornReport,
) => {
  const { bornMs, running = [], ended = [], sentMs = nowMs, clockStartMs = 0 } = source;
  const report = { bornMs, clockMs: nowMs - clockStartMs, running, ended };
  harness.planner.observeReport(workerId, { report, sentMs, receivedMs: nowMs }, harness.at(nowMs));
};

/** Starts the task of job `a` on `w1`, the only worker by then; `w22` can take it afterwards. */
export const startOnFirst = () => {
  const harness = createHarness();
  harness.addWorkers(0, makeEntry('w1'));
  harness.submit(RECORD.spec, 1);
  const [start] = harness.planStarts(2);
  const addSecond = (nowMs: number, firstBornMs = 1) => {
    const entries = [makeEntry('w1', { bornMs: firstBornMs }), makeEntry('w22')];
    harness.planner.observeWorkers(entries, harness.at(nowMs));
    harness.planner.markWorkersRecorded(['w22']);
    harness.report('w22', nowMs);
  };
  return { ...harness, harness, start: start!, addSecond };
};

/** Loads job `a` in a planner that took over from another one; `w22` has reported. */
export const takeOver = () => {
  const harness = createHarness({ runBase: 100, inheritedWorkers: ['w1', 'w22'] });
  harness.planner.loadJob(RECORD, undefined, harness.at(0));
  harness.planner.observeWorkers([makeEntry('w1'), makeEntry('w22')], harness.at(0));
  harness.planner.markWorkersRecorded(['w1', 'w22']);
  harness.report('w22', 1);
  return harness;
};
