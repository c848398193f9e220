/**
 * Decides at an entry whether a submission is sent to the log. What is refused here was never appended,
 * so the refusal `not-run` is true. Quick work is admitted only while it can start at once, because a
 * caller is helped more by an early refusal than by a place in a queue that it will miss.
 */
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { Random } from '../ports/random.js';
import type { Resources } from '../ports/workers.js';
import type { Failure, FailureCode } from '../verdict.js';
import { checkSubmission } from './fold.js';
import { chooseSize } from './learn-sizes.js';
import type { PoolView } from './plan-input.js';
import { isNeverFitting } from './plan-room.js';
import type { SubmissionRecord } from './records.js';
import { addResources, isValidSize } from './resources.js';
import { EMPTY_WORKER, NO_RESOURCES } from './state.js';
import type { PlacementRules, PlacementState, TaskState } from './state.js';

/** Time without an answer of the log service after which submissions are refused. */
export const STORE_SILENT_MS = 3_000;

/** Share of a pool's cores and memory that quick tasks, running and waiting, may fill. */
export const QUICK_SHARE = 0.85;

/** Quick tasks that may wait in a pool for each of its workers, which start a few at a time. */
export const WAITING_QUICK_PER_WORKER = 1;

const RETRY_MS = 5_000;
const STORE_RETRY_MS = 30_000;

/** What admission looks at. */
export interface AdmissionInput {
  readonly state: PlacementState;
  readonly rules: PlacementRules;
  /** The pool that the submission names; undefined when there is none. */
  readonly pool: PoolView | undefined;
  readonly submission: SubmissionRecord;
  /** Sizes of quick tasks of the pool that this entry has admitted and not yet read back, summed. */
  readonly pendingQuick: Resources;
  /** When the log service last answered, by the monotonic clock in milliseconds. */
  readonly storeAnsweredMs: number;
  readonly nowMs: number;
}

/** Makes a refusal; retries are spread over one to two times the given delay. */
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

/** Lists the quick tasks of a pool that wait. */
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

/** Sums what quick tasks hold on the workers of a pool. */
function sumHeldQuick(state: PlacementState, pool: PoolView): Resources {
  return pool.workers.reduce(
    (sum, { id }) => addResources(sum, (state.workers.get(id) ?? EMPTY_WORKER).quick),
    NO_RESOURCES,
  );
}

/** Sums the cores and memory of the pool's workers that may take tasks. */
function sumUsable(state: PlacementState, pool: PoolView): Resources {
  return pool.workers
    .filter(({ id, isOpen }) => isOpen && state.workers.get(id)?.isQuarantined !== true)
    .reduce((sum, { capacity }) => addResources(sum, capacity), NO_RESOURCES);
}

/** Says whether a quick task can start without waiting for another one to end. */
function hasQuickRoom(input: AdmissionInput, pool: PoolView, size: Resources): boolean {
  const { state, pendingQuick } = input;
  const waiting = listWaitingQuick(state, pool);
  if (waiting.length >= pool.workers.length * WAITING_QUICK_PER_WORKER) return false;
  const taken = waiting
    .map((task) => chooseSize(state.kinds.get(task.taskKind), task.declared, task.grownMemoryMb))
    .reduce(addResources, addResources(sumHeldQuick(state, pool), pendingQuick));
  const wanted = addResources(taken, size);
  const usable = sumUsable(state, pool);
  return (
    wanted.cores <= usable.cores * QUICK_SHARE && wanted.memoryMb <= usable.memoryMb * QUICK_SHARE
  );
}

/** Admits a submission, or refuses it as not run with a code and the time to come back. */
export function admitTask(input: AdmissionInput, random: Random): Result<void, Failure> {
  const { state, rules, pool, submission, nowMs } = input;
  if (nowMs - input.storeAnsweredMs > STORE_SILENT_MS) {
    const message = 'The log service does not answer; send the task again later.';
    return makeRefusal('store-unavailable', message, STORE_RETRY_MS, random);
  }
  if (pool === undefined || !isValidSize(submission.declared)) {
    const message = pool ? 'Declare a positive size.' : `There is no pool ${submission.pool}.`;
    return makeRefusal('bad-request', message, undefined, random);
  }
  const size = chooseSize(state.kinds.get(submission.taskKind), submission.declared, 0);
  const quota = rules.getQuotaCores(submission.team);
  if (isNeverFitting(pool, size) || size.cores > quota) {
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
  if (submission.urgency === 'quick' && !hasQuickRoom(input, pool, size)) {
    const message = `Pool ${pool.name} is full of quick tasks; come back later.`;
    return makeRefusal('queue-full', message, RETRY_MS, random);
  }
  return Ok(undefined);
}
