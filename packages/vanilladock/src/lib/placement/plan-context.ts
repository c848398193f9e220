/**
 * What the parts of one placement round share: the context of the round, and the decisions that are
 * remembered as taken, so that a command or an end is not sent again with each round.
 */
import type { TaskLease, TaskReport, WorkerCommand } from '../ports/workers.js';
import type { CommandDecision, EndDecision } from './decisions.js';
import { observeEcho, observeReport } from './leases.js';
import type { DutyView } from './leases.js';
import { APPEND_TIMEOUT_MS, RESEND_AFTER_MS } from './plan-input.js';
import type { PlanInput, ReceivedReport } from './plan-input.js';
import { getWorkerMemory } from './planner-memory.js';
import type { PlannerMemory } from './planner-memory.js';
import type { RecordMaker } from './record-maker.js';
import type { TaskOutcomeRecord } from './records.js';
import type { TaskState } from './state.js';

/** A round's input, the planner's memory and the factory for its records. */
export interface PlanContext {
  readonly input: PlanInput;
  readonly memory: PlannerMemory;
  readonly maker: RecordMaker;
}

type LeaseCommand = Extract<WorkerCommand, { readonly lease: TaskLease }>;

/** Makes the lease description that a command carries. */
export function makeTaskLease(
  taskId: string,
  fencingToken: number,
  durationMs: number,
  duty: DutyView,
  reportId: string,
): TaskLease {
  const { fence: plannerFence } = duty;
  return { taskId, fencingToken, durationMs, duty: duty.duty, plannerFence, reportId };
}

/** Updates the planner's memory from a worker's newest report; ignores one already handled. */
export function observeNewestReport(
  context: PlanContext,
  workerId: string,
  received: ReceivedReport | undefined,
): void {
  const known = getWorkerMemory(context.memory, workerId);
  if (received === undefined || known.contact?.reportId === received.report.reportId) return;
  const { duty } = context.input;
  const contact = observeReport(known.contact, received.report, duty, received.receivedMs);
  const running = received.report.tasks.filter(({ phase }) => phase === 'running');
  const runningSince = new Map(
    running.map(({ fencingToken }) => [
      fencingToken,
      known.runningSince.get(fencingToken) ?? received.receivedMs,
    ]),
  );
  const { nowMs } = context.input;
  const sent = new Map([...known.sent].filter(([, sentMs]) => nowMs - sentMs < RESEND_AFTER_MS));
  const hasThrottled = running.some(({ share }) => share < 1);
  const next = { ...known, contact, runningSince, sent, hasThrottled };
  context.memory.workers.set(workerId, next);
}

/**
 * Returns the decision to send a command about a lease, and remembers it as sent; empty when the
 * same one was sent within `RESEND_AFTER_MS`.
 */
export function sendOnce(
  context: PlanContext,
  workerId: string,
  command: LeaseCommand,
  rationale: { readonly reason: string; readonly refused: string },
): readonly CommandDecision[] {
  const known = getWorkerMemory(context.memory, workerId);
  const share = command.kind === 'throttle' ? `/${command.share.toFixed(2)}` : '';
  const key = `${command.kind}/${command.lease.fencingToken}${share}`;
  const { nowMs } = context.input;
  if (nowMs - (known.sent.get(key) ?? -Infinity) < RESEND_AFTER_MS) return [];
  const contact = known.contact && observeEcho(known.contact);
  const sent = new Map(known.sent).set(key, nowMs);
  context.memory.workers.set(workerId, { ...known, contact, sent });
  return [{ kind: 'command', workerId, command, ...rationale }];
}

/**
 * Appends the end of a task's lease, or of a task without one, unless that was done within
 * `APPEND_TIMEOUT_MS`. The same record is appended again until it is read back.
 */
export function recordEndOnce(
  context: PlanContext,
  task: TaskState,
  result: TaskOutcomeRecord['result'],
  rationale: { readonly reason: string; readonly refused: string },
  used?: TaskReport['used'],
): readonly EndDecision[] {
  const { memory, input, maker } = context;
  const key = task.lease?.offset ?? task.taskId;
  const pending = memory.ends.get(key);
  if (pending !== undefined && input.nowMs - pending.sentMs < APPEND_TIMEOUT_MS) return [];
  const record = pending?.record ?? maker.makeOutcome(task, result, rationale.reason, used);
  memory.ends.set(key, { record, sentMs: input.nowMs });
  return [{ kind: 'end', record, ...rationale }];
}
