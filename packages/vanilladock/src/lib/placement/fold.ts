/**
 * Folds placement records. The offset of a lease record is its fencing token; when leases race for
 * one task, the first that follows the task's newest lease wins. The fold counts the cores that
 * each team holds, so a lease beyond the team's quota is void whichever planner appended it. Only
 * an outcome record ends a lease. A finished task is kept until a fixed number of later tasks have
 * finished.
 */
import type { PlacedRecord } from '../log/record.js';
import { findPlacementDuty } from './duty.js';
import { foldEarlyCancellation, setFinished, setQueuedFinished } from './fold-finished.js';
import { addLease, addQuickCores, addToQueue, removeFromQueue, setWorker } from './fold-index.js';
import { foldOutcome } from './fold-outcome.js';
import { foldQuarantine } from './fold-quarantine.js';
import { setVoid } from './fold-void.js';
import { chooseSize } from './learn-sizes.js';
import type {
  CancellationRecord,
  LeaseRecord,
  PlacementRecord,
  SubmissionRecord,
} from './records.js';
import { isValidSize } from './resources.js';
import type {
  CurrentLease,
  PlacementRules,
  PlacementState,
  TaskState,
  VoidReason,
} from './state.js';
import { EMPTY_TEAM, EMPTY_WORKER } from './state.js';

/** Queued tasks, over all teams and per team, beyond which submissions are refused. */
export const QUEUED_MAX = 60_000;
export const QUEUED_MAX_PER_TEAM = 5_000;

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
  const reason = `cancelled by ${record.by}`;
  return setQueuedFinished(state, task, { result: 'cancelled', reason, offset });
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
