/**
 * Plans which waiting tasks start on which workers. Load pattern: a queue demands more than its pool
 * has, so that many jobs wait while single tasks end and single jobs arrive. A task that fitted on
 * no worker fits only on one that has changed since; a plan over changes therefore tries changed
 * jobs on all workers, and the other waiting jobs on changed workers only.
 */
import type { WorkerTarget } from '../ports/task-workers.js';
import type { MeanWork } from './mean-work.js';
import type { PlanScope } from './plan-scope.js';
import type { Resources } from '../ports/workers.js';
import type { PoolContext } from './pool-context.js';
import { compareQueueKeys, makeQueueKey } from './queue-order.js';
import { createReservations } from './reservations.js';
import { createStartPass } from './start-pass.js';
import type { Moment } from './state.js';
import type { PoolTeams } from '../teams/pool-teams.js';
import type { TicketRegistry } from './tickets.js';
import { createWaitingJobs, type WaitingJob } from './waiting-jobs.js';

/** Order to start a task on a worker. */
export interface StartAction {
  readonly kind: 'start';
  readonly worker: WorkerTarget;
  readonly taskKey: string;
  /** Number of the run; higher than those of the task's earlier runs. */
  readonly run: number;
  readonly payload: string;
  /** End of the lease on the worker's monotonic clock, in milliseconds. */
  readonly leaseUntilMs: number;
  /** Checkpoint to continue from; empty for a start from the beginning. */
  readonly checkpoint: string;
  /** The advisor's ticket; undefined if the step needs none. */
  readonly ticket: string | undefined;
}

/** Query to the advisor: which of these workers may run the step. */
export interface AdviseAction {
  readonly kind: 'advise';
  readonly stepKey: string;
  readonly workerIds: readonly string[];
}

/** Actions of one pass over the queue, and what the pass could not use. */
export interface StartPlan {
  readonly actions: readonly (StartAction | AdviseAction)[];
  /** Number of workers reserved for lasting tasks that fit nowhere yet. */
  readonly reserved: number;
  /** Number of steps for which no accepting worker had a ticket at the last look at all of them. */
  readonly ticketless: number;
  /** Monotonic time at which the next retry delay of a task that was looked at ends. */
  readonly nextRetryMs: number;
}

/** Dependencies of the planning of starts. */
export interface StartPlannerOptions {
  readonly context: PoolContext;
  readonly tickets: TicketRegistry;
  readonly meanWork: MeanWork;
  readonly teams: Pick<PoolTeams, 'hasRoom'>;
}

/** Inputs of one plan, in addition to the tables. */
export interface StartInputs {
  readonly at: Moment;
  /** Whether tasks of earlier planners may still run on workers that have not reported yet. */
  readonly isInheritanceUncertain: boolean;
  /** Says whether a task may run on a worker that this planner cannot call. */
  readonly mayRunUnseen: (taskKey: string) => boolean;
  readonly scope: PlanScope;
}

/** Plans the starts of a pool. */
export interface StartPlanner {
  /**
   * Plans starts for the stored jobs in queue order, and queries to the advisor; marks the started
   * tasks as assigned. Inherited jobs wait while the inheritance is uncertain. The tasks of a gang
   * start all at once or not at all.
   */
  readonly plan: (inputs: StartInputs) => StartPlan;
}

/** Creates the planning of a pool's starts. */
export function createStartPlanner(options: StartPlannerOptions): StartPlanner {
  const { context, tickets, meanWork, teams } = options;
  const { table } = context;
  const waitingJobs = createWaitingJobs(table);
  const reservations = createReservations(table);
  let ticketless = 0;

  const orderJobs = (jobs: readonly WaitingJob[], nowMs: number): readonly WaitingJob[] =>
    jobs
      .map((waiting) => {
        const { job, remainder } = waiting;
        const routeWork = meanWork.get(job.record.spec.route);
        return { waiting, key: makeQueueKey(job, routeWork, nowMs, remainder) };
      })
      .sort((a, b) => compareQueueKeys(a.key, b.key))
      .map(({ waiting }) => waiting);
  /** Lists the jobs to place: those that have changed, and all others if a task of them may fit. */
  const listJobs = (scope: PlanScope, changedBound: Resources): readonly WaitingJob[] => {
    if (scope.isFull || waitingJobs.mayFit(changedBound)) return waitingJobs.list();
    return [...scope.jobIds].flatMap((id) => waitingJobs.find(id) ?? []);
  };
  return {
    plan: ({ at, isInheritanceUncertain, mayRunUnseen, scope }) => {
      if (scope.isFull) reservations.clear();
      waitingJobs.refresh(scope.jobIds);
      const pass = createStartPass({
        context,
        tickets,
        reservations,
        teams,
        mayRunUnseen,
        at,
        scope,
      });
      const jobs = listJobs(scope, pass.getChangedBound());
      const isReady = ({ job }: WaitingJob) => !(job.isInherited && isInheritanceUncertain);
      orderJobs(jobs.filter(isReady), at.nowMs).forEach(pass.placeJob);
      const plan = pass.getPlan();
      if (scope.isFull) ticketless = plan.ticketless;
      waitingJobs.refresh(plan.startedJobIds);
      return {
        actions: plan.actions,
        reserved: reservations.count(),
        ticketless,
        nextRetryMs: plan.nextRetryMs,
      };
    },
  };
}
