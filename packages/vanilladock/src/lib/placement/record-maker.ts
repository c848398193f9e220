/** Creates the records that a planner appends, with ids unique across planners. */
import type { RecordHead } from '../log/record.js';
import type { Resources } from '../ports/workers.js';
import type { DutyView } from './leases.js';
import type { LeaseRecord, QuarantineRecord, TaskOutcomeRecord } from './records.js';
import { NO_RESOURCES } from './state.js';
import type { TaskState, WorkerState } from './state.js';

/** Creates placement records under one claim. */
export interface RecordMaker {
  readonly makeLease: (
    task: TaskState,
    workerId: string,
    size: Resources,
    durationMs: number,
  ) => LeaseRecord;
  /** Ends the task's newest lease; `used` defaults to no resources. */
  readonly makeOutcome: (
    task: TaskState,
    result: TaskOutcomeRecord['result'],
    reason: string,
    used?: Resources,
  ) => TaskOutcomeRecord;
  readonly makeQuarantine: (
    workerId: string,
    worker: WorkerState,
    pool: string,
    isQuarantined: boolean,
    reason: string,
  ) => QuarantineRecord;
}

/**
 * Creates a record maker for one round; `makeRecordNumber` never repeats under one claim. `at` is
 * the wall clock in milliseconds since 1970.
 */
export function createRecordMaker(
  entryId: string,
  duty: DutyView,
  at: number,
  makeRecordNumber: () => number,
): RecordMaker {
  const { fence } = duty;
  const makeHead = (): RecordHead => ({
    version: 1,
    id: `${entryId}/${fence}/${makeRecordNumber()}`,
    by: entryId,
    at,
  });
  return {
    makeLease: (task, workerId, size, durationMs) => ({
      ...makeHead(),
      kind: 'task.lease',
      taskId: task.taskId,
      workerId,
      size,
      follows: task.newestLease,
      durationMs,
      fence,
    }),
    makeOutcome: (task, result, reason, used = NO_RESOURCES) => ({
      ...makeHead(),
      kind: 'task.outcome',
      taskId: task.taskId,
      leaseOffset: task.newestLease,
      result,
      used,
      reason,
      fence,
    }),
    makeQuarantine: (workerId, worker, pool, isQuarantined, reason) => ({
      ...makeHead(),
      kind: 'worker.quarantine',
      workerId,
      pool,
      isQuarantined,
      follows: worker.quarantineOffset,
      reason,
      fence,
    }),
  };
}
