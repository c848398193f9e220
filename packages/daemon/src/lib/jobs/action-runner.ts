/**
 * Carries out the actions of a pool's planner: sends orders to workers and queries to the advisor,
 * logs their outcomes and reports them to the planner.
 */
import type { PoolAction, PoolPlanner } from 'vanilladock/lib/jobs/pool-planner.js';
import type { Advisor } from 'vanilladock/lib/ports/fleet.js';
import type { TaskWorkers } from 'vanilladock/lib/ports/task-workers.js';
import type { JsonLog } from '../json-log.js';
import { readMoment } from './clock.js';

/** Dependencies of a runner of actions. */
export interface ActionRunnerOptions {
  readonly workers: TaskWorkers;
  readonly advisor: Advisor;
  readonly fencingToken: number;
  readonly log: JsonLog;
  /** Returns the planner; undefined until it is loaded, and no action is carried out till then. */
  readonly getPlanner: () => PoolPlanner | undefined;
  /** Says whether the pool was released or lost; outcomes then no longer matter. */
  readonly isStopped: () => boolean;
  /** Requests a renewal of the worker soon, which brings its report. */
  readonly wakeLoop: (workerId: string) => void;
  /** Requests a plan soon. */
  readonly schedulePlan: () => void;
  /** Called when a worker has rejected the fencing token for a later one. */
  readonly handleFenced: () => void;
}

/** Carries out one action; resolves when its outcome is reported. */
export type RunAction = (action: PoolAction) => Promise<void>;

/** Creates the runner of a pool's actions. */
export function createActionRunner(options: ActionRunnerOptions): RunAction {
  const { workers, advisor, fencingToken, log, getPlanner, isStopped } = options;
  return async (action) => {
    const planner = getPlanner();
    if (planner === undefined) return;
    switch (action.kind) {
      case 'start': {
        const { worker, taskKey, run } = action;
        const outcome = await workers.startTask(worker, { ...action, fencingToken });
        log.info({
          event: 'run-start',
          task: taskKey,
          run,
          worker: worker.id,
          token: fencingToken,
          outcome: outcome.kind,
        });
        if (outcome.kind === 'rejected' && outcome.why === 'fenced') options.handleFenced();
        if (isStopped()) return;
        planner.observeStart(action, outcome, readMoment());
        if (outcome.kind === 'accepted') options.wakeLoop(worker.id);
        else options.schedulePlan();
        return;
      }
      case 'stop': {
        const { worker, taskKey, run, why } = action;
        const outcome = await workers.stopTask(worker, { taskKey, run, fencingToken });
        log.info({
          event: 'run-stop',
          task: taskKey,
          run,
          worker: worker.id,
          token: fencingToken,
          why,
          outcome: outcome.kind,
        });
        if (isStopped()) return;
        planner.observeStop(action, outcome, readMoment());
        options.wakeLoop(worker.id);
        return;
      }
      case 'pace': {
        const { worker, taskKey, run, percent } = action;
        const outcome = await workers.pace(worker, { taskKey, run, percent, fencingToken });
        log.info({
          event: 'run-pace',
          task: taskKey,
          run,
          worker: worker.id,
          percent,
          outcome: outcome.kind,
        });
        return;
      }
      case 'advise': {
        const outcome = await advisor.advise(action.stepKey, action.workerIds);
        log.info({
          event: 'advice',
          step: action.stepKey,
          asked: action.workerIds.length,
          outcome: outcome.kind,
        });
        if (outcome.kind !== 'advice' || isStopped()) return;
        const { nowMs } = readMoment();
        planner.tickets.addAnswer(action.stepKey, outcome.tickets, nowMs + outcome.validMs, nowMs);
        options.schedulePlan();
        return;
      }
      default:
        action satisfies never;
    }
  };
}
