/** Plans quarantines: isolates failing workers, probes them later and readmits those that pass. */
import type { PlacementDecision, QuarantineDecision } from './decisions.js';
import { APPEND_TIMEOUT_MS, UNRESPONSIVE_AFTER_MS } from './plan-input.js';
import type { PoolView, WorkerView } from './plan-input.js';
import { getWorkerMemory } from './planner-memory.js';
import type { PlanContext } from './plan-context.js';
import {
  computeProbeDelay,
  explainEvidence,
  isQuarantineAllowed,
  isHealthyKind,
} from './quarantine.js';
import { chooseSize } from './learn-sizes.js';
import { isWithin } from './resources.js';
import { EMPTY_TEAM, EMPTY_WORKER } from './state.js';
import type { TaskState, WorkerState } from './state.js';

/** Appends a quarantine record unless one was appended within the append timeout. */
function recordQuarantineOnce(
  context: PlanContext,
  pool: PoolView,
  workerId: string,
  worker: WorkerState,
  verdict: { readonly isQuarantined: boolean; readonly reason: string; readonly refused: string },
): readonly QuarantineDecision[] {
  const { memory, input, maker } = context;
  const sinceMs = input.nowMs - (memory.quarantineSentMs.get(workerId) ?? -Infinity);
  if (sinceMs < APPEND_TIMEOUT_MS) return [];
  memory.quarantineSentMs.set(workerId, input.nowMs);
  const { isQuarantined, reason, refused } = verdict;
  const record = maker.makeQuarantine(workerId, worker, pool.name, isQuarantined, reason);
  return [{ kind: 'quarantine', record, reason, refused }];
}

/** Says whether a quarantined worker is due for a probe; schedules the next probe otherwise. */
function isProbeDue(context: PlanContext, workerId: string, worker: WorkerState): boolean {
  const { memory, input } = context;
  const known = memory.probes.get(workerId);
  const failedProbes = worker.streak.length;
  const isKnown =
    known?.quarantineOffset === worker.quarantineOffset && known.failedProbes === failedProbes;
  if (isKnown) return input.nowMs >= known.dueMs;
  memory.probes.set(workerId, {
    failedProbes,
    quarantineOffset: worker.quarantineOffset,
    dueMs: input.nowMs + computeProbeDelay(failedProbes),
  });
  return false;
}

/** Finds a queued task to use as a probe: not quick, never leased, and of a healthy kind. */
function findProbe(
  context: PlanContext,
  pool: PoolView,
  worker: WorkerView,
): TaskState | undefined {
  const { state, rules } = context.input;
  const queues = state.queues.get(pool.name);
  for (const urgency of ['patient', 'heavy'] as const) {
    for (const [team, queue] of queues?.get(urgency) ?? []) {
      const taskId = queue.fresh.first();
      const task = taskId === undefined ? undefined : state.tasks.get(taskId);
      if (task === undefined || context.memory.grants.has(task.taskId)) continue;
      const size = chooseSize(state.kinds.get(task.taskKind), task.declared, 0);
      const held = (state.teams.get(team) ?? EMPTY_TEAM).heldCores;
      const isAffordable = held + size.cores <= rules.getQuotaCores(team);
      const isFitting = isAffordable && isWithin(size, worker.capacity);
      if (isFitting && isHealthyKind(state, task.taskKind, 0)) return task;
    }
  }
  return undefined;
}

/** Grants one task to a quarantined worker that is due for a probe. */
function planProbe(
  context: PlanContext,
  pool: PoolView,
  worker: WorkerView,
  folded: WorkerState,
): readonly PlacementDecision[] {
  const { contact } = getWorkerMemory(context.memory, worker.id);
  const { nowMs, state } = context.input;
  const isReporting = contact !== undefined && nowMs - contact.receivedMs <= UNRESPONSIVE_AFTER_MS;
  if (!folded.tasks.isEmpty() || !isReporting || !worker.isOpen) return [];
  if (!isProbeDue(context, worker.id, folded)) return [];
  const task = findProbe(context, pool, worker);
  if (task === undefined) return [];
  const size = chooseSize(state.kinds.get(task.taskKind), task.declared, 0);
  const record = context.maker.makeLease(task, worker.id, size, pool.taskLeaseMs);
  context.memory.grants.set(task.taskId, {
    recordId: record.id,
    taskId: task.taskId,
    team: task.team,
    urgency: task.urgency,
    workerId: worker.id,
    size,
    follows: task.newestLease,
    sinceMs: nowMs,
  });
  const reason = `probes the quarantined worker ${worker.id}`;
  return [{ kind: 'grant', record, reason, refused: 'keep the worker in quarantine' }];
}

/** Decides on quarantine, probe or readmission of one worker from its folded state. */
function planWorkerQuarantine(
  context: PlanContext,
  pool: PoolView,
  worker: WorkerView,
  quarantined: number,
): readonly PlacementDecision[] {
  const folded = context.input.state.workers.get(worker.id) ?? EMPTY_WORKER;
  if (folded.isQuarantined && folded.hasPassedProbe) {
    const verdict = {
      isQuarantined: false,
      reason: 'it passed a probe',
      refused: 'keep it quarantined',
    };
    return recordQuarantineOnce(context, pool, worker.id, folded, verdict);
  }
  if (folded.isQuarantined) return planProbe(context, pool, worker, folded);
  const evidence = explainEvidence(context.input.state, worker.id);
  if (evidence === undefined || !isQuarantineAllowed(quarantined, pool.workers.length)) return [];
  const verdict = {
    isQuarantined: true,
    reason: evidence,
    refused: 'attribute the failures to the tasks',
  };
  return recordQuarantineOnce(context, pool, worker.id, folded, verdict);
}

/** Plans quarantines, probes and readmissions for the workers of a pool. */
export function planQuarantine(context: PlanContext, pool: PoolView): readonly PlacementDecision[] {
  const { workers } = context.input.state;
  const suspects = pool.workers.filter(({ id }) => {
    const folded = workers.get(id);
    return folded !== undefined && (folded.isQuarantined || folded.streak.length > 0);
  });
  let quarantined = suspects.filter(({ id }) => workers.get(id)?.isQuarantined).length;
  return suspects.flatMap((worker) => {
    const decisions = planWorkerQuarantine(context, pool, worker, quarantined);
    if (
      decisions.some((decision) => decision.kind === 'quarantine' && decision.record.isQuarantined)
    ) {
      quarantined += 1;
    }
    return decisions;
  });
}
