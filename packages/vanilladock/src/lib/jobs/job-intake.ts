/**
 * Takes in submissions and cancels of one pool: admits or refuses a job by the load of the pool, has an
 * admitted one stored before it starts, and logs where each came from.
 */
import type { ArrivalForecast } from '../lending/arrival-forecast.js';
import type { PoolTeams } from '../teams/pool-teams.js';
import { admitJob, CANCELLED_REFUSAL } from './admit-job.js';
import { closeJob } from './apply-ends.js';
import { makeReceiptFields } from './call-receipt.js';
import type { CancelTombstones } from './cancel-tombstones.js';
import { computeWork } from './estimate.js';
import type { MeanWork } from './mean-work.js';
import type { CancelOutcome, CallSource, PoolPlanner } from './planner-types.js';
import type { PoolContext } from './pool-context.js';
import { computePoolLoad } from './pool-demand.js';
import { renderStep } from './render-step.js';
import { isLastingJob, type JobRecord } from './spec.js';
import type { Moment } from './state.js';
import type { StoreQueue } from './store-queue.js';

/** Parts of the planner that submissions and cancels depend on. */
export interface JobIntakeOptions {
  readonly context: PoolContext;
  readonly arrivals: Pick<ArrivalForecast, 'add'>;
  readonly meanWork: Pick<MeanWork, 'addJob'>;
  readonly teams: Pick<PoolTeams, 'classifyJob' | 'observeRefusal'>;
  readonly storeQueue: Pick<StoreQueue, 'addNew' | 'addRemoved'>;
  readonly tombstones: Pick<CancelTombstones, 'add' | 'blocks' | 'drop'>;
  /** Returns the cores that admission may count on from lending; 0 while that is not known. */
  readonly getReachableCores: (nowMs: number) => number;
}

/** As the functions of the planner. */
export type JobIntake = Pick<PoolPlanner, 'submit' | 'cancel'>;

/** Creates the intake of a pool. */
export function createJobIntake(options: JobIntakeOptions): JobIntake {
  const { context, arrivals, meanWork, teams, storeQueue, tombstones } = options;
  const { table, report } = context;
  const computeLoad = (nowMs: number) => {
    const load = computePoolLoad(table, nowMs);
    return { ...load, cores: Math.max(load.cores, options.getReachableCores(nowMs)) };
  };
  const cancelJob = (jobId: string, at: Moment, source: CallSource): CancelOutcome => {
    const { team, queue } = source;
    const job = table.jobs.get(jobId);
    if (job === undefined) {
      return tombstones.add({ jobId, team, queue, cancelledAtMs: at.wallMs }, at.nowMs);
    }
    if (job.phase !== 'active') return 'ended';
    closeJob(context, jobId, 'cancelled', at);
    return 'cancelling';
  };
  return {
    submit: (spec, policy, at, { receipt, ...source } = {}) => {
      const { team } = source;
      if (table.jobs.has(spec.id)) return 'known';
      if (tombstones.blocks(spec.id, team)) {
        const received = makeReceiptFields(receipt, at.wallMs);
        report({
          event: 'job-refused',
          job: spec.id,
          route: spec.route,
          team,
          ...received,
          ...CANCELLED_REFUSAL,
        });
        return CANCELLED_REFUSAL;
      }
      const load = computeLoad(at.nowMs);
      const sizes = spec.steps.map((step) => step.size);
      const entitlement = teams.classifyJob(team, sizes, at.nowMs);
      const isExcess = entitlement.kind === 'excess';
      if (!isLastingJob(spec) && !isExcess) {
        arrivals.add({ coreSeconds: computeWork(spec), jobs: 1 }, at.nowMs);
      }
      const admission = admitJob(spec, policy, load, entitlement);
      report({
        event: admission.kind === 'admitted' ? 'job-admitted' : 'job-refused',
        job: spec.id,
        route: spec.route,
        team,
        ...makeReceiptFields(receipt, at.wallMs),
        steps: spec.steps.map(renderStep),
        ...(admission.kind === 'refused' ? admission : {}),
        entitlement: team === undefined ? undefined : entitlement.kind,
        backlogCoreSeconds: Math.round(load.backlogCoreSeconds),
        cores: load.cores,
      });
      if (admission.kind === 'refused') {
        if (team !== undefined && entitlement.kind === 'within-rate') teams.observeRefusal(team);
        return admission;
      }
      const acceptedAtMs = at.wallMs;
      const record: JobRecord = {
        spec,
        policy,
        acceptedAtMs,
        ...source,
        isExcess: isExcess || undefined,
      };
      const origin = { progress: undefined, runBase: 0, storedPhase: 'none' } as const;
      meanWork.addJob(table.addJob(record, origin, at));
      // One of another team: its records have the keys of the job's, and the job's id refuses that team.
      if (tombstones.drop(spec.id)) storeQueue.addRemoved([spec.id]);
      storeQueue.addNew(spec.id);
      return admission;
    },
    cancel: (jobId, at, source = {}) => {
      const outcome = cancelJob(jobId, at, source);
      const received = makeReceiptFields(source.receipt, at.wallMs);
      report({ event: 'job-cancel', job: jobId, outcome, ...received });
      return outcome;
    },
  };
}
