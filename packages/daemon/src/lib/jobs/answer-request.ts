/** Answers requests about jobs from a pool's planner; what changes a job is answered when it is stored. */
import type { PoolPlanner } from 'vanilladock/lib/jobs/pool-planner.js';
import { readMoment } from './clock.js';
import { RETRY_AFTER_MS, type JobReply, type JobRequest } from './job-request.js';

/** What answers are made from. */
export interface AnswerContext {
  readonly planner: PoolPlanner;
  /** Resolves to whether everything that was dirty at the call is stored within the time. */
  readonly waitStored: (patienceMs: number) => Promise<boolean>;
  readonly isStoreAway: () => boolean;
  readonly isStopped: () => boolean;
  readonly schedulePlan: () => void;
}

/** How long an answer waits for the store. */
const STORE_PATIENCE_MS = 900;

/** Over this time callers are spread that were refused while the store was away. */
const STORE_RETURN_MS = 2_000;

/** Takes in a submission; accepted only when it is stored. */
async function submitJob(
  context: AnswerContext,
  request: Extract<JobRequest, { kind: 'submit' }>,
): Promise<JobReply> {
  const { planner, waitStored, isStopped } = context;
  const { id } = request.spec;
  if (context.isStoreAway() && planner.getAnswer(id) === 'unknown') {
    // Spread over the store's return, so that callers do not come back in the same moment.
    const retryAfterMs = RETRY_AFTER_MS + Math.random() * STORE_RETURN_MS;
    return { kind: 'refused', cause: 'store', why: 'store-away', retryAfterMs };
  }
  const admission = planner.submit(request.spec, request.policy, readMoment());
  if (admission !== 'known' && admission.kind === 'refused') {
    const { why, retryAfterMs } = admission;
    return { kind: 'refused', cause: 'queue', why, retryAfterMs };
  }
  if (admission !== 'known' || !planner.isStored(id)) await waitStored(STORE_PATIENCE_MS);
  if (isStopped()) return { kind: 'unknown', why: 'the planner has lost its pool' };

  if (planner.table.jobs.get(id) === undefined) {
    return { kind: 'unavailable', why: 'store-refused', retryAfterMs: RETRY_AFTER_MS };
  }
  const isKept = planner.table.jobs.get(id)?.storedPhase !== 'none';
  return isKept ? { kind: 'accepted' } : { kind: 'unknown', why: 'the store has not answered' };
}

/** Cancels a job; answered only when that is stored. */
async function cancelJob(context: AnswerContext, jobId: string): Promise<JobReply> {
  const { planner, waitStored, isStopped, schedulePlan } = context;
  const answer = planner.cancel(jobId, readMoment());
  if (answer === 'unknown') return { kind: 'no-such-job' };

  if (answer === 'ended' && planner.isStored(jobId)) return { kind: 'cancelled' };

  schedulePlan();
  await waitStored(STORE_PATIENCE_MS);
  return planner.isStored(jobId) && !isStopped()
    ? { kind: 'cancelled' }
    : { kind: 'unknown', why: 'the store has not answered' };
}

/** Answers one request. */
export async function answerRequest(
  context: AnswerContext,
  request: JobRequest,
): Promise<JobReply> {
  const { planner, schedulePlan } = context;
  switch (request.kind) {
    case 'submit':
      return submitJob(context, request);
    case 'cancel':
      return cancelJob(context, request.jobId);
    case 'status': {
      const state = planner.getAnswer(request.jobId);
      return state === 'unknown' ? { kind: 'no-such-job' } : { kind: 'state', state };
    }
    case 'pending':
      return { kind: 'pending', count: planner.countPending(request.route) };
    case 'evacuate': {
      const content = planner.evacuate(request.workerId, readMoment());
      schedulePlan();
      return content === undefined
        ? { kind: 'unavailable', why: 'worker-not-heard', retryAfterMs: RETRY_AFTER_MS }
        : { kind: 'content', ...content };
    }
    case 'demand':
      return { kind: 'demand', demand: planner.getDemand(request.reachableCores, readMoment()) };
    case 'life-ended':
      planner.observeLifeEnd(request.workerId, 'ordered');
      schedulePlan();
      return { kind: 'accepted' };
    default:
      return request satisfies never;
  }
}
