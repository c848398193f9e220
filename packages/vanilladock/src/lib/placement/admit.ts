/**
 * Admission control at an entry: decides whether a submission is appended to the log. A submission
 * refused here was never appended, so the verdict `not-run` is certain. A quick task is admitted
 * only while it can start at once, because an early refusal serves its caller better than a queue
 * in which the task would miss its deadline.
 */
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { Random } from '../ports/random.js';
import type { Resources } from '../ports/workers.js';
import type { Failure, FailureCode } from '../verdict.js';
import { checkSubmission } from './fold.js';
import { chooseSize } from './learn-sizes.js';
import type { PoolView } from './plan-input.js';
import { isTooLargeForPool } from './plan-load.js';
import type { SubmissionRecord } from './records.js';
import { addResources, isValidSize } from './resources.js';
import { EMPTY_WORKER, NO_RESOURCES } from './state.js';
import type { PlacementRules, PlacementState, TaskState } from './state.js';

/** Time without a response from the log service after which submissions are refused. */
export const STORE_UNRESPONSIVE_AFTER_MS = 3_000;

/**
 * Largest share of cores and memory that running and queued quick tasks may use. It counts only the
 * capacity of the pool's workers that accept tasks.
 */
export const QUICK_CAPACITY_SHARE = 0.75;

/** Most queued quick tasks per worker of a pool; each worker starts only a few at a time. */
export const MAX_WAITING_QUICK_PER_WORKER = 1;

/** Least retry delay after a refusal for lack of capacity. */
const RETRY_MS = 5_000;

/** Least retry delay while the log service is unresponsive. */
const STORE_RETRY_MS = 30_000;

/** Input of an admission decision. */
export interface AdmissionInput {
  readonly state: PlacementState;
  readonly rules: PlacementRules;
  /** The pool that the submission names; undefined when there is none. */
  readonly pool: PoolView | undefined;
  readonly submission: SubmissionRecord;
  /** Total size of the pool's quick tasks that this entry admitted but has not yet read back. */
  readonly pendingQuick: Resources;
  /** Time of the log service's last response, on the monotonic clock in milliseconds. */
  readonly lastStoreResponseMs: number;
  /** Time of the decision, on the same clock as `lastStoreResponseMs`. */
  readonly nowMs: number;
}

/** Makes a refusal; the retry delay is jittered to one to two times `delayMs`. */
function makeRefusal(
  code: FailureCode,
  message: string,
  delayMs: number | undefined,
  random: Random,
): Result<void, Failure> {
  if (delayMs === undefined) return Err({ code, verdict: 'not-run', message });
  const retryAfterMs = Math.round(delayMs * (1 + random()));
  return Err({ code, verdict: 'not-run', message, retryAfterMs });
}

/** Lists the queued quick tasks of a pool. */
function listWaitingQuick(state: PlacementState, pool: PoolView): readonly TaskState[] {
  const waiting: TaskState[] = [];
  state.queues
    .get(pool.name)
    ?.get('quick')
    ?.forEach(({ again, fresh }) => {
      [...again, ...fresh].forEach((id) => {
        const task = state.tasks.get(id);
        if (task !== undefined) waiting.push(task);
      });
    });
  return waiting;
}

/** Sums the resources that quick tasks hold on the workers of a pool. */
function sumHeldQuick(state: PlacementState, pool: PoolView): Resources {
  return pool.workers.reduce(
    (sum, { id }) => addResources(sum, (state.workers.get(id) ?? EMPTY_WORKER).quick),
    NO_RESOURCES,
  );
}

/** Sums the capacity of the pool's workers that accept tasks. */
function sumUsable(state: PlacementState, pool: PoolView): Resources {
  return pool.workers
    .filter(({ id, isOpen }) => isOpen && state.workers.get(id)?.isQuarantined !== true)
    .reduce((sum, { capacity }) => addResources(sum, capacity), NO_RESOURCES);
}

/** Says whether a quick task of the size can start without waiting for another one to end. */
function hasQuickCapacity(input: AdmissionInput, pool: PoolView, size: Resources): boolean {
  const { state, pendingQuick } = input;
  const waiting = listWaitingQuick(state, pool);
  if (waiting.length >= pool.workers.length * MAX_WAITING_QUICK_PER_WORKER) return false;
  const taken = waiting
    .map((task) => chooseSize(state.kinds.get(task.taskKind), task.declared, task.grownMemoryMb))
    .reduce(addResources, addResources(sumHeldQuick(state, pool), pendingQuick));
  const wanted = addResources(taken, size);
  const usable = sumUsable(state, pool);
  return (
    wanted.cores <= usable.cores * QUICK_CAPACITY_SHARE &&
    wanted.memoryMb <= usable.memoryMb * QUICK_CAPACITY_SHARE
  );
}

/**
 * Admits a submission, or refuses it as `not-run` with a code. The failure has a jittered
 * `retryAfterMs`, except for `bad-request` and `never-runnable`.
 */
export function admitTask(input: AdmissionInput, random: Random): Result<void, Failure> {
  const { state, rules, pool, submission, nowMs } = input;
  if (nowMs - input.lastStoreResponseMs > STORE_UNRESPONSIVE_AFTER_MS) {
    const message = 'The log service does not answer; send the task again later.';
    return makeRefusal('store-unavailable', message, STORE_RETRY_MS, random);
  }
  if (pool === undefined || !isValidSize(submission.declared)) {
    const message = pool ? 'Declare a positive size.' : `There is no pool ${submission.pool}.`;
    return makeRefusal('bad-request', message, undefined, random);
  }
  const size = chooseSize(state.kinds.get(submission.taskKind), submission.declared, 0);
  const quota = rules.getQuotaCores(submission.team);
  if (isTooLargeForPool(pool, size) || size.cores > quota) {
    const message =
      size.cores > quota
        ? `The task needs ${size.cores} cores and the team's quota is ${quota}.`
        : `No worker of pool ${pool.name} can hold the task; declare a smaller size.`;
    return makeRefusal('never-runnable', message, undefined, random);
  }
  const full = checkSubmission(state, submission, rules);
  if (full !== undefined) {
    return makeRefusal('queue-full', `Refused: ${full}.`, RETRY_MS, random);
  }
  if (submission.urgency === 'quick' && !hasQuickCapacity(input, pool, size)) {
    const message = `Pool ${pool.name} is full of quick tasks; come back later.`;
    return makeRefusal('queue-full', message, RETRY_MS, random);
  }
  return Ok(undefined);
}
