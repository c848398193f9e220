/** Judges a run from what the workers themselves wrote down, never from the planner's state. */
import type { LedgerEntry } from '@vanilladock/stand-ins/lib/worker-core.js';
import { TEAM_QUOTA_CORES } from './workload.js';
import type { WorkTask } from './workload.js';

const GRAIN = 1e-6;

/** Counts the spans of a task that overlap with a span on the same or another worker. */
export function countDoubleRuns(entries: readonly LedgerEntry[]): number {
  const byTask = new Map<string, LedgerEntry[]>();
  entries.forEach((entry) => {
    const spans = byTask.get(entry.taskId);
    if (spans) spans.push(entry);
    else byTask.set(entry.taskId, [entry]);
  });
  let doubles = 0;
  byTask.forEach((spans) => {
    const sorted = [...spans].sort((a, b) => a.startMs - b.startMs);
    let lastEndMs = -Infinity;
    sorted.forEach(({ startMs, endMs }) => {
      if (startMs < lastEndMs) doubles += 1;
      lastEndMs = Math.max(lastEndMs, endMs);
    });
  });
  return doubles;
}

/** Counts the starts by which a team came to hold more cores than its quota. */
export function countQuotaViolations(
  entries: readonly LedgerEntry[],
  tasks: ReadonlyMap<string, WorkTask>,
): number {
  const changes = entries.flatMap(({ taskId, cores, startMs, endMs }) => {
    const team = tasks.get(taskId)?.team ?? '';
    return [
      { team, atMs: startMs, cores },
      { team, atMs: endMs, cores: -cores },
    ];
  });
  changes.sort((a, b) => a.atMs - b.atMs || a.cores - b.cores);
  const held = new Map<string, number>();
  let violations = 0;
  changes.forEach(({ team, cores }) => {
    const next = (held.get(team) ?? 0) + cores;
    held.set(team, next);
    if (cores > 0 && next > TEAM_QUOTA_CORES + GRAIN) violations += 1;
  });
  return violations;
}

/** Counts, for each failing worker, the tasks that it started after it began to fail. */
export function countBlackHoleTasks(
  entries: readonly LedgerEntry[],
  failingSince: ReadonlyMap<string, number>,
): readonly number[] {
  const counts = new Map([...failingSince.keys()].map((workerId) => [workerId, 0]));
  entries.forEach(({ workerId, startMs }) => {
    const sinceMs = failingSince.get(workerId);
    if (sinceMs === undefined || startMs < sinceMs) return;
    counts.set(workerId, (counts.get(workerId) ?? 0) + 1);
  });
  return [...counts.values()];
}

/** Finds the largest number of attempts at one task that can never end well. */
export function findMostAttempts(
  entries: readonly LedgerEntry[],
  tasks: ReadonlyMap<string, WorkTask>,
): number {
  const attempts = new Map<string, number>();
  entries.forEach(({ taskId }) => {
    if (tasks.get(taskId)?.isUnrunnable !== true) return;
    attempts.set(taskId, (attempts.get(taskId) ?? 0) + 1);
  });
  return Math.max(0, ...attempts.values());
}

/** Finds the value that a share of the others does not exceed. */
export function findQuantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.max(0, Math.ceil(sorted.length * share) - 1)] ?? 0;
}
