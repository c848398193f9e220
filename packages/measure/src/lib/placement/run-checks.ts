/**
 * Checks a run by the execution spans that the workers recorded, independently of the planner's
 * state.
 */
import type { TaskRun } from '@vanilladock/stand-ins/lib/worker-model.js';
import { TEAM_QUOTA_CORES } from './workload.js';
import type { WorkTask } from './workload.js';

const CORES_TOLERANCE = 1e-6;

/**
 * Counts the spans that overlap an earlier span of the same task, on the same or another worker.
 */
export function countDoubleRuns(spans: readonly TaskRun[]): number {
  const byTask = new Map<string, TaskRun[]>();
  spans.forEach((span) => {
    const taskSpans = byTask.get(span.taskId);
    if (taskSpans) taskSpans.push(span);
    else byTask.set(span.taskId, [span]);
  });
  let overlaps = 0;
  byTask.forEach((taskSpans) => {
    const sorted = [...taskSpans].sort((a, b) => a.startMs - b.startMs);
    let lastEndMs = -Infinity;
    sorted.forEach(({ startMs, endMs }) => {
      if (startMs < lastEndMs) overlaps += 1;
      lastEndMs = Math.max(lastEndMs, endMs);
    });
  });
  return overlaps;
}

/** Counts the task starts that brought a team's running cores above its quota. */
export function countQuotaViolations(
  spans: readonly TaskRun[],
  tasks: ReadonlyMap<string, WorkTask>,
): number {
  const changes = spans.flatMap(({ taskId, cores, startMs, endMs }) => {
    const team = tasks.get(taskId)?.team ?? '';
    return [
      { team, atMs: startMs, cores },
      { team, atMs: endMs, cores: -cores },
    ];
  });
  changes.sort((a, b) => a.atMs - b.atMs || a.cores - b.cores);
  const coresByTeam = new Map<string, number>();
  let violations = 0;
  changes.forEach(({ team, cores }) => {
    const heldCores = (coresByTeam.get(team) ?? 0) + cores;
    coresByTeam.set(team, heldCores);
    if (cores > 0 && heldCores > TEAM_QUOTA_CORES + CORES_TOLERANCE) violations += 1;
  });
  return violations;
}

/**
 * Counts, for each failing worker, the tasks that it started after it began to fail all of them.
 */
export function countBlackHoleTasks(
  spans: readonly TaskRun[],
  failingSince: ReadonlyMap<string, number>,
): readonly number[] {
  const counts = new Map([...failingSince.keys()].map((workerId) => [workerId, 0]));
  spans.forEach(({ workerId, startMs }) => {
    const sinceMs = failingSince.get(workerId);
    if (sinceMs === undefined || startMs < sinceMs) return;
    counts.set(workerId, (counts.get(workerId) ?? 0) + 1);
  });
  return [...counts.values()];
}

/** Finds the largest number of attempts at one task that can never succeed. */
export function findMostAttempts(
  spans: readonly TaskRun[],
  tasks: ReadonlyMap<string, WorkTask>,
): number {
  const attempts = new Map<string, number>();
  spans.forEach(({ taskId }) => {
    if (tasks.get(taskId)?.isUnrunnable !== true) return;
    attempts.set(taskId, (attempts.get(taskId) ?? 0) + 1);
  });
  return Math.max(0, ...attempts.values());
}

/**
 * Finds a quantile by the nearest-rank method; `share` is between 0 and 1. Returns 0 without
 * values.
 */
export function findQuantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.max(0, Math.ceil(sorted.length * share) - 1)] ?? 0;
}
