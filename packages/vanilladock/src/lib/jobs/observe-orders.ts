/**
 * Applies the outcomes of orders. A run whose order got no response is uncertain until a report
 * shows whether the worker has it.
 */
import type { OrderOutcome } from '../ports/task-workers.js';
import type { StartAction } from './plan-starts.js';
import type { StopAction } from './plan-stops.js';
import type { PoolContext } from './pool-context.js';
import { releaseUnendedRun } from './run-release.js';
import { makeStepKey } from './spec.js';
import type { Moment } from './state.js';
import type { TicketRegistry } from './tickets.js';

/** Delay before a rejected task is started again. */
const START_RETRY_MS = 100;

/** How long a worker that reported itself unhealthy gets no new tasks. */
const UNHEALTHY_PAUSE_MS = 500;

/**
 * Applies the outcome of a start: a rejected task returns to the queue unless its run was confirmed
 * before, and an unconfirmed run with an unknown outcome is to be stopped. Changes nothing if the
 * task has another run by now. `at` is when the outcome was known.
 */
export function observeStart(
  context: PoolContext,
  tickets: TicketRegistry,
  action: StartAction,
  outcome: OrderOutcome,
  at: Moment,
): void {
  const { table } = context;
  const task = table.findTask(action.taskKey);
  const isSameRun =
    task !== undefined && task.state.kind === 'assigned' && task.state.run === action.run;
  const worker = table.workers.get(action.worker.id);
  if (outcome.kind !== 'accepted') {
    context.report({
      event: 'start-not-confirmed',
      task: action.taskKey,
      run: action.run,
      worker: action.worker.id,
      outcome: outcome.kind,
      why: outcome.kind === 'rejected' ? outcome.why : undefined,
    });
  }
  if (!isSameRun || task.state.kind !== 'assigned') return;
  const { state } = task;
  switch (outcome.kind) {
    case 'accepted': {
      const confirmedMs = state.confirmedMs ?? at.nowMs;
      const phase = state.phase === 'starting' ? 'running' : state.phase;
      table.moveTask(task, { ...state, phase, confirmedMs, lastProgressMs: at.nowMs });
      return;
    }
    case 'rejected':
      if (state.confirmedMs !== undefined) return;
      releaseUnendedRun(
        context,
        task,
        { proof: 'start-rejected', why: outcome.why },
        { nowMs: at.nowMs, notBeforeMs: at.nowMs + START_RETRY_MS },
      );
      if (outcome.why === 'unhealthy' && worker !== undefined) {
        table.updateWorker(worker.entry.id, { noStartBeforeMs: at.nowMs + UNHEALTHY_PAUSE_MS });
      }
      if (outcome.why === 'no-ticket') {
        const stepKey = makeStepKey(task.jobId, task.occurrence, task.stepIndex);
        tickets.dropTicket(stepKey, action.worker.id);
      }
      return;
    case 'unknown':
      if (state.phase === 'starting') table.moveTask(task, { ...state, phase: 'stopping' });
      return;
    default:
      outcome satisfies never;
  }
}

/**
 * Records when a stop was accepted; any other outcome is ignored, and the stop is repeated later.
 * Only a report shows that the run has ended.
 */
export function observeStop(
  context: PoolContext,
  action: StopAction,
  outcome: OrderOutcome,
  at: Moment,
): void {
  const { table } = context;
  const task = table.findTask(action.taskKey);
  if (task === undefined || task.state.kind !== 'assigned') return;
  if (task.state.run !== action.run || outcome.kind !== 'accepted') return;
  table.moveTask(task, { ...task.state, stopAnsweredMs: at.nowMs });
}
