/** Makes the record of a worker that has not reported yet. */
import type { WorkerEntry } from '../ports/task-workers.js';
import { NO_RESOURCES } from './free-capacity.js';
import type { Worker } from './state.js';
import { NO_FAILURES } from './worker-failures.js';

/** Makes a listed worker without tasks, reports or leases. */
export function makeWorker(entry: WorkerEntry): Worker {
  return {
    entry,
    capacityKnownMs: 0,
    isCapacityReported: false,
    largestCapacity: entry.capacity,
    isListed: true,
    isRecorded: false,
    clock: undefined,
    leaseUntilMs: 0,
    lastLeaseCallMs: -Infinity,
    lastEnd: 0,
    storedEnd: 0,
    lastReportMs: 0,
    missedReports: 0,
    tasks: new Set(),
    orphanedRuns: new Map(),
    used: NO_RESOURCES,
    lastingTasks: 0,
    noStartBeforeMs: 0,
    startPauses: 0,
    evacuateUntilMs: 0,
    failures: NO_FAILURES,
    isolation: undefined,
  };
}
