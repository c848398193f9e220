/** Workers and jobs of replays in which a queue must not stand. */
import type { JobPolicy } from '../../lib/jobs/spec.js';
import type { WorkerEntry } from '../../lib/ports/task-workers.js';
import { makeEntry, makeJob, makeStep, POLICY } from './planner-harness.js';
import type { createPoolSimulation } from './pool-simulation.js';
import { type PlannedEnd, type StartRecord } from './pool-simulation.js';

export const SECOND_MS = 1_000;
/** Longest wait for a first start of a job that some worker has the capacity for. */
export const MAX_WAIT_MS = 3_000;
/** Policy of jobs that stay on time during a whole replay. */
export const GOOD_POLICY = { ...POLICY, stretch: 100, targetLatencyMs: 100_000 };

/** Makes workers `w`, `w-`, `w--` and so on. */
export const makeWorkers = (
  count: number,
  change: Partial<WorkerEntry> = {},
): readonly WorkerEntry[] =>
  Array.from({ length: count }, (_, index) => makeEntry(`w${'-'.repeat(index)}`, change));

/** Decides by the prefix of the job's id: `bad` fails at once, `flaky` after some seconds. */
export const decideEnd = ({ jobId, atMs }: StartRecord): PlannedEnd | undefined => {
  if (jobId === 'long') return { how: 'done', afterMs: 60 * SECOND_MS };
  if (jobId.startsWith('bad')) return { how: 'failed', afterMs: 100 };
  if (jobId.startsWith('flaky')) return { how: 'failed', afterMs: 2_000 + (atMs % 3_000) };
  return jobId.startsWith('lasting') ? undefined : { how: 'done', afterMs: 300 };
};

export type Simulation = ReturnType<typeof createPoolSimulation>;

/** Submits a good job every half second and returns the longest wait for the first start. */
export const measureLongestWait = (
  simulation: Simulation,
  fromMs: number,
  untilMs: number,
  options: { readonly policy?: JobPolicy; readonly handleRound?: (atMs: number) => void } = {},
) => {
  let longestMs = 0;
  const submitted: { readonly id: string; readonly atMs: number }[] = [];
  for (let atMs = fromMs; atMs < untilMs; atMs += 500) {
    simulation.runUntil(atMs);
    options.handleRound?.(atMs);
    const id = `good${atMs}`;
    const spec = makeJob(id, [makeStep()], { route: 'r-good' });
    simulation.submit(spec, options.policy ?? GOOD_POLICY);
    submitted.push({ id, atMs });
  }
  simulation.runUntil(untilMs + MAX_WAIT_MS);
  submitted.forEach(({ id, atMs }) => {
    const startMs = simulation.getFirstStartMs(id) ?? untilMs + MAX_WAIT_MS;
    longestMs = Math.max(longestMs, startMs - atMs);
  });
  return longestMs;
};
