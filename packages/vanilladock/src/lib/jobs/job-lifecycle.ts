/** Opens occurrences of repeating jobs when they are due, and drops jobs that have ended. */
import { listBegunOccurrences, type Progress } from './progress.js';
import type { Job, Moment } from './state.js';
import type { TaskTable } from './task-table.js';

/** Opens the occurrences of a job that are due at the wall time `wallMs`. */
function openDue(table: TaskTable, job: Job, wallMs: number): void {
  const { id, repeatCount, startAtMs, intervalMs } = job.record.spec;
  if (repeatCount === 0) return;
  const dueCount = Math.floor((wallMs - startAtMs) / Math.max(1, intervalMs)) + 1;
  for (let number = 0; number < Math.min(dueCount, repeatCount); number += 1) {
    if (!job.finishedOccurrences.has(number)) table.openOccurrence(id, number);
  }
}

/** Opens the occurrences of all jobs that are due at the wall time `wallMs`. */
export function openDueOccurrences(table: TaskTable, wallMs: number): void {
  table.activeJobs.forEach((job) => openDue(table, job, wallMs));
}

/**
 * Opens an occurrence of an inherited job that an earlier planner has begun, by a clock that may be
 * ahead; what has not run of it yet starts when it is due. Has no effect if the job does not have the
 * occurrence or that has ended.
 */
export function openBegunOccurrence(
  table: TaskTable,
  jobId: string,
  number: number,
  { nowMs, wallMs }: Moment,
): void {
  const job = table.activeJobs.get(jobId);
  if (job === undefined || !job.isInherited || job.finishedOccurrences.has(number)) return;
  const { repeatCount, startAtMs, intervalMs } = job.record.spec;
  if (!Number.isInteger(number) || number < 0 || number >= repeatCount) return;
  const untilDueMs = Math.max(0, startAtMs + number * intervalMs - wallMs);
  table.openOccurrence(jobId, number, untilDueMs === 0 ? 0 : nowMs + untilDueMs);
}

/**
 * Opens the occurrences of a loaded job that are due, and those with stored progress: reports may name
 * their runs and ends before the first plan.
 */
export function openLoadedOccurrences(
  table: TaskTable,
  job: Job,
  progress: Progress | undefined,
  at: Moment,
): void {
  if (job.phase !== 'active') return;
  openDue(table, job, at.wallMs);
  if (progress === undefined) return;
  const { id } = job.record.spec;
  listBegunOccurrences(progress).forEach((number) => openBegunOccurrence(table, id, number, at));
}

/**
 * Drops the jobs whose state could be given for more than `statusMs` at the monotonic time `nowMs`;
 * returns their ids. That time begins at the first call after their end was stored.
 */
export function dropFinishedJobs(
  table: TaskTable,
  statusMs: number,
  nowMs: number,
): readonly string[] {
  const given = [...table.jobs].filter(
    ([, { phase, storedPhase }]) => phase !== 'active' && storedPhase === phase,
  );
  given.forEach(([id, { finishedMs }]) => {
    if (finishedMs === undefined) table.updateJob(id, { finishedMs: nowMs });
  });
  const expired = given
    .filter(([, { finishedMs = nowMs }]) => nowMs - finishedMs > statusMs)
    .map(([id]) => id);
  expired.forEach(table.dropJob);
  return expired;
}
