/** Logs when a worker stops or starts to accept new tasks, with the reason and its inputs. */
import { computeEarliestWorkerMs } from './lease-clock.js';
import type { PoolContext } from './pool-context.js';
import type { Worker } from './state.js';
import { explainExclusion, type Exclusion } from './worker-exclusion.js';

/** Log of the exclusions of a pool's workers. */
export interface ExclusionLog {
  /** Logs the changes on the given workers, one line for each that has changed. */
  readonly observeWorkers: (workerIds: Iterable<string>, nowMs: number) => void;
  /** Lists the workers that were last seen as excluded, by id. */
  readonly listExcluded: () => readonly string[];
}

/** Whether a worker accepts tasks, or why not, and since when on the monotonic clock. */
interface Acceptance {
  readonly why: Exclusion | undefined;
  readonly sinceMs: number;
}

/** Makes the log fields of the inputs that led to an exclusion; times are in milliseconds. */
function makeInputFields(
  { table }: PoolContext,
  worker: Worker,
  why: Exclusion,
  nowMs: number,
): Readonly<Record<string, unknown>> {
  const { missedReports } = worker;
  const reportAgeMs =
    worker.clock === undefined ? undefined : Math.round(nowMs - worker.lastReportMs);
  switch (why) {
    case 'unrecorded':
    case 'draining':
      return {};
    case 'on-trial':
      return { task: worker.failures.trialTaskKey, ejections: worker.failures.ejections };
    case 'unlisted':
    case 'no-report':
    case 'unresponsive':
      return { reportAgeMs, missedReports };
    case 'long-lease': {
      const { clock, leaseUntilMs, tasks } = worker;
      const earliestWorkerMs = clock && Math.round(computeEarliestWorkerMs(clock, nowMs));
      return { reportAgeMs, leaseUntilMs, earliestWorkerMs, tasks: tasks.size };
    }
    case 'evacuating':
      return { forMs: Math.round(worker.evacuateUntilMs - nowMs) };
    case 'unhealthy':
      return { forMs: Math.round(worker.noStartBeforeMs - nowMs) };
    case 'failing': {
      const { jobs, ejections, ejectedUntilMs } = worker.failures;
      const failedJobs = jobs.map(({ jobId: job }) => {
        const arrivedMs = table.jobs.get(job)?.arrivedMs;
        return { job, ageMs: arrivedMs === undefined ? undefined : Math.round(nowMs - arrivedMs) };
      });
      return { failedJobs, reportAgeMs, ejections, forMs: Math.round(ejectedUntilMs - nowMs) };
    }
    default:
      return why satisfies never;
  }
}

/** Creates the log of a pool. */
export function createExclusionLog(context: PoolContext): ExclusionLog {
  const { table, report } = context;
  const acceptances = new Map<string, Acceptance>();
  const excludedIds = new Set<string>();

  const logChange = (worker: Worker, why: Exclusion | undefined, nowMs: number) => {
    const { id, bornMs } = worker.entry;
    const previous = acceptances.get(id);
    acceptances.set(id, { why, sinceMs: nowMs });
    if (why === undefined) excludedIds.delete(id);
    else excludedIds.add(id);
    if (why !== undefined) {
      const inputs = makeInputFields(context, worker, why, nowMs);
      report({ event: 'worker-excluded', worker: id, bornMs, why, ...inputs });
      return;
    }
    const excludedMs = previous === undefined ? 0 : Math.round(nowMs - previous.sinceMs);
    report({ event: 'worker-included', worker: id, bornMs, why: previous?.why, excludedMs });
  };
  return {
    observeWorkers: (workerIds, nowMs) => {
      [...workerIds].forEach((id) => {
        const worker = table.workers.get(id);
        if (worker === undefined) {
          acceptances.delete(id);
          excludedIds.delete(id);
          return;
        }
        const why = explainExclusion(worker, nowMs);
        const known = acceptances.get(id);
        if (known === undefined || known.why !== why) logChange(worker, why, nowMs);
      });
    },
    listExcluded: () => [...excludedIds],
  };
}
