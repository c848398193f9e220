/**
 * Folds placement records. The offset of a lease record is its fencing token; when leases race for
 * one task, the first that follows the task's newest lease wins. The fold counts the cores that
 * each team holds, so a lease beyond the team's quota is void whichever planner appended it. Only
 * an outcome record ends a lease. A finished task is kept until a fixed number of later tasks have
 * finished.
 */
import type { PlacedRecord } from '../log/record.js';
import type { Verdict } from '../verdict.js';
import { findPlacementDuty } from './duty.js';
import { foldEvidence } from './fold-evidence.js';
import { addFinished, foldEarlyCancellation } from './fold-finished.js';
import {
  addLease,
  addQuickCores,
  addToQueue,
  removeFromQueue,
  removeLease,
  setWorker,
} from './fold-index.js';
import { foldQuarantine } from './fold-quarantine.js';
import { setVoid } from './fold-void.js';
import { chooseSize, GROWTH_FACTOR, isOutOfMemory } from './learn-sizes.js';
import type {
  CancellationRecord,
  LeaseRecord,
  PlacementRecord,
  SubmissionRecord,
  TaskOutcomeRecord,
} from './records.js';
import { isValidSize } from './resources.js';
import type {
  CurrentLease,
  PlacementRules,
  PlacementState,
  TaskResult,
  TaskState,
  VoidReason,
} from './state.js';
import { EMPTY_TEAM, EMPTY_WORKER } from './state.js';

/** Queued tasks, over all teams and per team, beyond which submissions are refused. */
export const QUEUED_MAX = 60_000;
export const QUEUED_MAX_PER_TEAM = 5_000;

/** Failed or lapsed attempts after which a task ends as failed, if the last attempt failed. */
export const ATTEMPTS_MAX = 3;

/** Lapsed leases after which a task ends, because the task itself may be crashing its workers. */
export const LAPSES_MAX = 6;

/** Ends a task: removes it from the totals and keeps a summary of its end. */
function setFinished(
  state: PlacementState,
  task: TaskState,
  end: {
    readonly result: TaskResult;
    readonly verdict: Verdict;
    readonly reason: string;
    readonly offset: number;
  },
): PlacementState {
  const entry = { ...end, team: task.team, workerId: task.lease?.workerId };
  const counted = addQuickCores(state, task, -1);
  const tasks = counted.tasks.remove(task.taskId);
  return addFinished({ ...counted, tasks }, task.taskId, entry);
}

/** Estimates the cores that a submitted task needs. */
function estimateCores(state: PlacementState, record: SubmissionRecord): number {
  const { cores } = chooseSize(state.kinds.get(record.taskKind), record.declared, 0);
  return Number.isFinite(cores) ? cores : 0;
}

/**
 * Explains why a submission must be refused; undefined when it is accepted. The quick tasks of a
 * team may together expect no more cores than its quota; its only quick task is not checked.
 */
export function checkSubmission(
  state: PlacementState,
  record: SubmissionRecord,
  rules: PlacementRules,
): string | undefined {
  const team = state.teams.get(record.team) ?? EMPTY_TEAM;
  if (!isValidSize(record.declared)) return 'the declared size is not a size';
  if (state.queued >= QUEUED_MAX) return 'too many tasks wait in the fleet';
  if (team.queued >= QUEUED_MAX_PER_TEAM) return 'too many tasks of the team wait';
  const isQuick = record.urgency === 'quick' && team.quickCores > 0;
  const cores = team.quickCores + estimateCores(state, record);
  if (isQuick && cores > rules.getQuotaCores(record.team)) {
    return "quick tasks of the team already fill the team's quota";
  }
  return undefined;
}

/** Folds a submission: queues the task, or records that it was refused. */
function foldSubmission(
  state: PlacementState,
  record: SubmissionRecord,
  offset: number,
  rules: PlacementRules,
): PlacementState {
  const ended = state.finished.get(record.taskId);
  const isKnown = ended !== undefined && ended.result !== 'refused';
  if (isKnown || state.tasks.has(record.taskId)) return state;
  const task: TaskState = {
    taskId: record.taskId,
    team: record.team,
    urgency: record.urgency,
    taskKind: record.taskKind,
    pool: record.pool,
    declared: record.declared,
    expectedCores: estimateCores(state, record),
    submittedOffset: offset,
    newestLease: -1,
    lease: undefined,
    failures: 0,
    lapses: 0,
    failedOn: [],
    grownMemoryMb: 0,
    isCancelled: false,
  };
  const counted = addQuickCores(state, task, 1);
  const refusal = checkSubmission(state, record, rules);
  if (refusal !== undefined) {
    const end = { result: 'refused', verdict: 'not-run', reason: refusal, offset } as const;
    return setFinished(counted, task, end);
  }
  const next = {
    ...counted,
    tasks: counted.tasks.set(task.taskId, task),
    finished: counted.finished.remove(task.taskId),
  };
  return addToQueue(next, task);
}

/**
 * Returns the reason why a lease record is void; undefined when it is valid. A worker in quarantine
 * may hold one task, which probes it.
 */
export function checkLease(
  state: PlacementState,
  record: LeaseRecord,
  rules: PlacementRules,
): VoidReason | undefined {
  const task = state.tasks.get(record.taskId);
  if (task === undefined) return 'no-such-task';
  if (!rules.isCurrentClaim(findPlacementDuty(task.pool), record.fence)) return 'stale-claim';
  if (task.lease !== undefined || record.follows !== task.newestLease) return 'superseded';
  if (!isValidSize(record.size)) return 'bad-size';
  const held = (state.teams.get(task.team) ?? EMPTY_TEAM).heldCores;
  if (held + record.size.cores > rules.getQuotaCores(task.team)) return 'quota';
  const worker = state.workers.get(record.workerId);
  if (worker?.isQuarantined === true && !worker.tasks.isEmpty()) return 'quarantined';
  return undefined;
}

/** Folds a lease: removes the task from its queue and adds its size to the totals. */
function foldLease(
  state: PlacementState,
  record: LeaseRecord,
  offset: number,
  rules: PlacementRules,
): PlacementState {
  const reason = checkLease(state, record, rules);
  const task = state.tasks.get(record.taskId);
  if (reason !== undefined || task === undefined) {
    return setVoid(state, record.id, reason ?? 'no-such-task');
  }
  const { workerId, size, durationMs, fence } = record;
  const lease: CurrentLease = { offset, workerId, size, durationMs, fence };
  const leased = { ...task, lease, newestLease: offset };
  const dequeued = removeFromQueue(state, task);
  const counted = addLease(dequeued, task, lease);
  return { ...counted, tasks: counted.tasks.set(task.taskId, leased) };
}

/** Says whether only the current planner may append this outcome, not any observer. */
function isPlannerDecision(record: TaskOutcomeRecord): boolean {
  return record.result === 'lapsed' || record.result === 'never-runnable';
}

/** Ends a queued task that fits no worker. */
function foldNeverRunnable(
  state: PlacementState,
  task: TaskState,
  record: TaskOutcomeRecord,
  offset: number,
): PlacementState {
  if (task.lease !== undefined || record.leaseOffset !== task.newestLease) {
    return setVoid(state, record.id, 'not-holder');
  }
  const verdict = task.newestLease < 0 ? 'not-run' : 'may-have-run';
  const end = { result: record.result, verdict, reason: record.reason, offset } as const;
  return setFinished(removeFromQueue(state, task), task, end);
}

/** Builds the task that returns to its queue after a lease ended without success. */
function buildRetriedTask(
  task: TaskState,
  lease: CurrentLease,
  record: TaskOutcomeRecord,
): TaskState {
  const isFailure = record.result === 'failed';
  const isShort = isFailure && isOutOfMemory(record.used, lease.size);
  return {
    ...task,
    lease: undefined,
    failures: task.failures + (isFailure ? 1 : 0),
    lapses: task.lapses + (record.result === 'lapsed' ? 1 : 0),
    failedOn: isFailure ? [...task.failedOn, lease.workerId] : task.failedOn,
    grownMemoryMb: isShort ? lease.size.memoryMb * GROWTH_FACTOR : task.grownMemoryMb,
  };
}

/** Resolves how a task ends with this outcome; undefined when it is retried. */
function resolveEnd(
  task: TaskState,
  record: TaskOutcomeRecord,
): { readonly result: TaskResult; readonly verdict: Verdict } | undefined {
  if (record.result === 'succeeded') return { result: 'succeeded', verdict: 'ran' };
  if (task.isCancelled) return { result: 'cancelled', verdict: 'may-have-run' };
  const isFailure = record.result === 'failed';
  if (isFailure && task.failures + task.lapses >= ATTEMPTS_MAX)
    return { result: 'failed', verdict: 'ran' };
  if (task.lapses >= LAPSES_MAX) return { result: 'lapsed', verdict: 'may-have-run' };
  return undefined;
}

/** Folds an outcome: releases the lease's resources, then ends or requeues the task. */
function foldOutcome(
  state: PlacementState,
  record: TaskOutcomeRecord,
  offset: number,
  rules: PlacementRules,
): PlacementState {
  const task = state.tasks.get(record.taskId);
  if (task === undefined) return setVoid(state, record.id, 'no-such-task');
  const isCurrent = rules.isCurrentClaim(findPlacementDuty(task.pool), record.fence);
  if (isPlannerDecision(record) && !isCurrent) return setVoid(state, record.id, 'stale-claim');
  if (record.result === 'never-runnable') return foldNeverRunnable(state, task, record, offset);
  const { lease } = task;
  if (lease === undefined || lease.offset !== record.leaseOffset) {
    return setVoid(state, record.id, 'not-holder');
  }
  const freed = foldEvidence(removeLease(state, task, lease), task, lease, record);
  const retried = buildRetriedTask(task, lease, record);
  const end = resolveEnd(retried, record);
  if (end !== undefined) {
    return setFinished(freed, task, { ...end, reason: record.reason, offset });
  }
  return addToQueue({ ...freed, tasks: freed.tasks.set(task.taskId, retried) }, retried);
}

/** Folds a cancellation: ends a queued task, or marks a leased one for its worker to stop. */
function foldCancellation(
  state: PlacementState,
  record: CancellationRecord,
  offset: number,
): PlacementState {
  const task = state.tasks.get(record.taskId);
  if (task === undefined) return foldEarlyCancellation(state, record, offset);
  if (task.lease !== undefined) {
    const marked = {
      ...state,
      tasks: state.tasks.set(task.taskId, { ...task, isCancelled: true }),
    };
    const worker = state.workers.get(task.lease.workerId) ?? EMPTY_WORKER;
    return setWorker(marked, task.lease.workerId, { ...worker });
  }
  const verdict = task.newestLease < 0 ? 'not-run' : 'may-have-run';
  const reason = `cancelled by ${record.by}`;
  const end = { result: 'cancelled', verdict, reason, offset } as const;
  return setFinished(removeFromQueue(state, task), task, end);
}

/**
 * Folds one placement record; the rules must be those in force at the record's offset. A void
 * record only adds its reason to `voids`; a repeated submission changes nothing.
 */
export function foldPlacement(
  state: PlacementState,
  placed: PlacedRecord<PlacementRecord>,
  rules: PlacementRules,
): PlacementState {
  const { record, offset } = placed;
  switch (record.kind) {
    case 'task.submission':
      return foldSubmission(state, record, offset, rules);
    case 'task.lease':
      return foldLease(state, record, offset, rules);
    case 'task.outcome':
      return foldOutcome(state, record, offset, rules);
    case 'task.cancellation':
      return foldCancellation(state, record, offset);
    case 'worker.quarantine':
      return foldQuarantine(state, record, offset, rules);
    default:
      return record satisfies never;
  }
}
