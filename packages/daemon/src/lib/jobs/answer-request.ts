/** Answers requests about jobs from a pool's planner; changes are confirmed only once stored. */
import { CANCELLED_REFUSAL } from 'vanilladock/lib/jobs/admit-job.js';
import type { PoolPlanner } from 'vanilladock/lib/jobs/pool-planner.js';
import { isForeignJob, isOfOtherQueue } from 'vanilladock/lib/jobs/spec.js';
import { readMoment } from './clock.js';
import {
  makeUnavailable,
  RETRY_AFTER_MS,
  type JobReply,
  type JobRequest,
  type QueueOrigin,
} from './job-request.js';
import type { PoolStateWriter } from './pool-state-writer.js';

/** Planner and callbacks that requests are answered with. */
export interface AnswerContext {
  readonly planner: PoolPlanner;
  /** As `waitStored` of the pool's state writer. */
  readonly waitStored: (timeoutMs: number) => Promise<boolean>;
  /** As `isStoreUnavailable` of the pool's state writer. */
  readonly isStoreUnavailable: () => boolean;
  /** Says whether the runner has stopped or lost the pool, so that nothing more is stored. */
  readonly isStopped: () => boolean;
  /** Says whether no later planner can have the pool; else one may have accepted jobs. */
  readonly isInForce: () => boolean;
  /** As `getFloor` of the pool's state writer. */
  readonly getFloor: PoolStateWriter['getFloor'];
  /** As `recordFloors` of the pool's state writer. */
  readonly recordFloors: PoolStateWriter['recordFloors'];
  /** Requests a report of a worker at once, unless one is awaited. */
  readonly wakeWorker: (workerId: string) => void;
  /** Requests a plan soon, for changes that the request made. */
  readonly schedulePlan: () => void;
}

/** How long a reply waits for the store. */
const STORE_TIMEOUT_MS = 900;

/** Delay after which a cancel is worth retrying that cannot be recorded until others have expired. */
const CANCEL_RETRY_AFTER_MS = 10_000;

/** Range of the random delay added to retries of callers that an unavailable store refused. */
const STORE_RETRY_SPREAD_MS = 2_000;

/** Says whether a job belongs to another team than the one that asks; false for an unknown job. */
function isForeign({ planner }: AnswerContext, jobId: string, team: string | undefined): boolean {
  const job = planner.table.jobs.get(jobId);
  return job !== undefined && isForeignJob(job.record, team);
}

/** Says whether the pool has a job of this id that was submitted to another queue. */
function isElsewhereQueued(
  { planner }: AnswerContext,
  jobId: string,
  queue: string | undefined,
): boolean {
  const job = planner.table.jobs.get(jobId);
  return job !== undefined && isOfOtherQueue(job.record, queue);
}

/**
 * Says whether a version of the configuration is too old for a queue: the pool may have told others
 * that it does not have a job, which another pool has accepted since.
 */
function isTooOld(context: AnswerContext, origin: QueueOrigin | undefined): boolean {
  return origin !== undefined && origin.version < context.getFloor(origin.queue);
}

/** Submits a job to the planner; the reply is `accepted` only once the job is stored. */
async function submitJob(
  context: AnswerContext,
  request: Extract<JobRequest, { kind: 'submit' }>,
): Promise<JobReply> {
  const { planner } = context;
  const { origin, team, spec, policy, receipt } = request;
  const { id } = spec;
  if (isForeign(context, id, team) || isElsewhereQueued(context, id, origin?.queue)) {
    return { kind: 'foreign-job' };
  }
  const isKnown = planner.table.jobs.has(id);
  if (!isKnown && isTooOld(context, origin)) return makeUnavailable('config-older');
  if (context.isStoreUnavailable() && planner.getJobStatus(id) === 'unknown') {
    // Spreads the retries, so that callers do not all return at once when the store recovers.
    const retryAfterMs = RETRY_AFTER_MS + Math.random() * STORE_RETRY_SPREAD_MS;
    return { kind: 'refused', cause: 'store', why: 'store-away', retryAfterMs };
  }
  const source = { team, queue: origin?.queue, receipt };
  const admission = planner.submit(spec, policy, readMoment(), source);
  if (admission !== 'known' && admission.kind === 'refused') {
    const { why, retryAfterMs } = admission;
    return { kind: 'refused', cause: 'queue', why, retryAfterMs };
  }
  return answerStored(context, id);
}

/** Replies that a job in the planner is accepted once it is stored. */
async function answerStored(context: AnswerContext, id: string): Promise<JobReply> {
  const { planner, waitStored, isStopped } = context;
  if (!planner.isStored(id)) await waitStored(STORE_TIMEOUT_MS);
  if (isStopped()) return { kind: 'unknown', why: 'the planner has lost its pool' };

  if (planner.table.jobs.get(id) === undefined) {
    return makeUnavailable('store-refused');
  }
  const isStored = planner.table.jobs.get(id)?.storedPhase !== 'none';
  return isStored ? { kind: 'accepted' } : { kind: 'unknown', why: 'the store has not answered' };
}

/** Replies that the pool does not have a job, once it accepts none under an older version any more. */
async function closeForOlder(context: AnswerContext, origin: QueueOrigin): Promise<JobReply> {
  if (isTooOld(context, origin)) return makeUnavailable('config-older');

  const { queue, version } = origin;
  const isRecorded = await context.recordFloors([queue], version, STORE_TIMEOUT_MS);
  return isRecorded && !context.isStopped()
    ? { kind: 'no-such-job' }
    : makeUnavailable('store-away');
}

/** Answers whether the pool has a job; if not, it will not accept it under an older version. */
async function answerLookup(
  context: AnswerContext,
  { jobId, queue, version, team }: Extract<JobRequest, { kind: 'lookup' }>,
): Promise<JobReply> {
  if (isForeign(context, jobId, team)) return { kind: 'foreign-job' };
  if (isElsewhereQueued(context, jobId, queue)) return closeForOlder(context, { queue, version });
  if (context.planner.table.jobs.has(jobId)) return answerStored(context, jobId);
  if (context.planner.isCancelled(jobId, team)) {
    return { ...CANCELLED_REFUSAL, cause: 'queue' };
  }
  return closeForOlder(context, { queue, version });
}

/** Says why the cancel of an unknown job cannot be recorded now; undefined if it can. */
function findCancelObstacle(
  context: AnswerContext,
  origin: QueueOrigin | undefined,
): string | undefined {
  if (isTooOld(context, origin)) return 'config-older';
  return context.isStoreUnavailable() ? 'store-away' : undefined;
}

/** Cancels a job, or records that an unknown one is cancelled; confirms it only once it is stored. */
async function cancelJob(
  context: AnswerContext,
  { jobId, team, origin, receipt, isFormerPool }: Extract<JobRequest, { kind: 'cancel' }>,
): Promise<JobReply> {
  const { planner, waitStored, isStopped, schedulePlan } = context;
  const isElsewhere = isElsewhereQueued(context, jobId, origin?.queue);
  const isKnown = planner.table.jobs.has(jobId) && !isElsewhere;
  if (!isKnown && isFormerPool === true && origin !== undefined) {
    return closeForOlder(context, origin);
  }
  const confirmed = { kind: isKnown ? 'cancelled' : 'no-such-job' } as const;
  const obstacle = isKnown ? undefined : findCancelObstacle(context, origin);
  if (obstacle !== undefined) return makeUnavailable(obstacle);
  // The other job keeps a submission under its id out, and has the key that a tombstone would get.
  if (isElsewhere) return confirmed;

  const outcome = planner.cancel(jobId, readMoment(), { team, queue: origin?.queue, receipt });
  if (outcome === 'refused') {
    return makeUnavailable('cancel-not-recorded', CANCEL_RETRY_AFTER_MS);
  }

  if (outcome !== 'cancelling' && planner.isStored(jobId)) return confirmed;

  schedulePlan();
  await waitStored(STORE_TIMEOUT_MS);
  return planner.isStored(jobId) && !isStopped()
    ? confirmed
    : { kind: 'unknown', why: 'the store has not answered' };
}

/**
 * Answers one request. An unavailable store does not reject: a new job is refused with a delay to
 * retry after, and a change that is not confirmed as stored in time is answered as `unknown`.
 */
export async function answerRequest(
  context: AnswerContext,
  request: JobRequest,
): Promise<JobReply> {
  const { planner, schedulePlan } = context;
  switch (request.kind) {
    case 'submit':
      return submitJob(context, request);
    case 'lookup':
      return answerLookup(context, request);
    case 'cancel':
      if (isForeign(context, request.jobId, request.team)) return { kind: 'no-such-job' };
      return cancelJob(context, request);
    case 'status': {
      if (isForeign(context, request.jobId, request.team)) return { kind: 'no-such-job' };
      const isElsewhere = isElsewhereQueued(context, request.jobId, request.origin?.queue);
      const state = isElsewhere ? 'unknown' : planner.getJobStatus(request.jobId);
      if (state !== 'unknown') return { kind: 'state', state };
      if (!context.isInForce()) return makeUnavailable('claim-unconfirmed');
      return isTooOld(context, request.origin)
        ? makeUnavailable('config-older')
        : { kind: 'no-such-job' };
    }
    case 'pending':
      return { kind: 'pending', count: planner.countPending(request) };
    case 'evacuate': {
      const content = planner.evacuate(request.workerId, readMoment());
      schedulePlan();
      return content === undefined
        ? makeUnavailable('worker-not-heard')
        : { kind: 'content', ...content };
    }
    case 'demand':
      return { kind: 'demand', demand: planner.getDemand(request.reachableCores, readMoment()) };
    case 'allot': {
      const report = planner.applyAllotments(request.message, readMoment());
      schedulePlan();
      return { kind: 'team-use', report };
    }
    case 'life-ended':
      planner.observeEndNotice(request.workerId, readMoment());
      context.wakeWorker(request.workerId);
      schedulePlan();
      return { kind: 'accepted' };
    default:
      return request satisfies never;
  }
}
