/**
 * Answers callers' requests about the jobs of a queue, which may live in several pools: those that
 * were accepted before the configuration sent the queue to another pool stay where they are. A queue
 * that was never sent elsewhere costs no more than one request to its pool.
 */
import { waitMs } from './clock.js';
import type { JobGateway } from './job-gateway.js';
import {
  makeUnavailable,
  type JobReply,
  type JobRequest,
  type QueueOrigin,
} from './job-request.js';
import type { QueueDirectory, QueuePlacement } from './queue-directory.js';
import { RETRY_PAUSE_MS } from './request-retries.js';

/** Requests that callers make, each about one queue. */
export type QueueRequest = Extract<
  JobRequest,
  { readonly kind: 'submit' | 'status' | 'cancel' | 'pending' }
>;

/** Dependencies of the gateway. */
export interface QueueGatewayOptions {
  readonly gateway: Pick<JobGateway, 'answer'>;
  readonly directory: Pick<QueueDirectory, 'findPlacement' | 'listFormerPools' | 'hasRecorded'>;
  /** As `mayBeOld` of the watch of the input's age. */
  readonly mayBeOld: () => boolean;
}

/** Gateway for the requests of callers. */
export interface QueueGateway {
  /** As `answer` of the gateway for jobs, over all pools that may have the job. */
  readonly answer: (
    request: QueueRequest,
    origin: QueueOrigin,
    answerByMs?: number,
  ) => Promise<JobReply>;
}

/** How long a submission waits until its version of the configuration is recorded. */
const PLACEMENT_LIMIT_MS = 600;

/** Time limit of the queries to former pools that precede a submission. */
const LOOKUP_LIMIT_MS = 1_500;

/** Replies of a pool that settle a request that several pools were sent. */
const DECISIVE_KINDS: ReadonlySet<JobReply['kind']> = new Set([
  'state',
  'cancelled',
  'accepted',
  'foreign-job',
  'refused',
]);

/** Says whether a pool's reply settles a request that several pools were sent. */
function isDecisive({ kind }: JobReply): boolean {
  return DECISIVE_KINDS.has(kind);
}

/**
 * Chooses the reply of several pools: the first decisive one as soon as it arrives, else one that
 * leaves the answer open, else that no pool has the job.
 */
function chooseReply(pending: readonly Promise<JobReply>[]): Promise<JobReply> {
  return new Promise((resolve, reject) => {
    const replies: JobReply[] = [];
    const handleReply = (reply: JobReply) => {
      replies.push(reply);
      if (isDecisive(reply)) resolve(reply);
      else if (replies.length === pending.length) {
        resolve(replies.find(({ kind }) => kind !== 'no-such-job') ?? reply);
      }
    };
    pending.forEach((promise) => {
      promise.then(handleReply, reject);
    });
  });
}

/** Adds up the pending jobs of a queue in several pools; any other reply stands for all. */
function sumPending(replies: readonly JobReply[]): JobReply {
  const other = replies.find(({ kind }) => kind !== 'pending');
  if (other !== undefined) return other;
  const count = replies.reduce(
    (sum, reply) => sum + (reply.kind === 'pending' ? reply.count : 0),
    0,
  );
  return { kind: 'pending', count };
}

/** Creates the gateway. */
export function createQueueGateway({
  gateway,
  directory,
  mayBeOld,
}: QueueGatewayOptions): QueueGateway {
  const waitPlacement = async (
    pool: string,
    { queue, version }: QueueOrigin,
  ): Promise<QueuePlacement | undefined> => {
    const startedMs = performance.now();
    for (;;) {
      const placement = directory.findPlacement(queue, pool, version);
      const isOver = performance.now() - startedMs + RETRY_PAUSE_MS > PLACEMENT_LIMIT_MS;
      if (placement !== undefined || isOver) return placement;
      await waitMs(RETRY_PAUSE_MS);
    }
  };
  const submit = async (
    request: Extract<QueueRequest, { readonly kind: 'submit' }>,
    origin: QueueOrigin,
    answerByMs: number,
  ): Promise<JobReply> => {
    // The job may have been cancelled so long ago that no planner knows it any more.
    if (mayBeOld()) return makeUnavailable('input-old');
    const placement = await waitPlacement(request.pool, origin);
    if (placement === undefined) return makeUnavailable('queue-unrecorded');
    const { queue } = origin;
    const { version, formerPools } = placement;
    if (formerPools.length > 0) {
      // A pool that has the job has accepted it, or refuses it as it was cancelled there; one that
      // has not takes it no more afterwards.
      const lookup = { kind: 'lookup', jobId: request.spec.id, queue, version } as const;
      const byMs = Math.min(answerByMs, performance.now() + LOOKUP_LIMIT_MS);
      const { team } = request;
      const known = await chooseReply(
        formerPools.map((pool) => gateway.answer({ ...lookup, pool, team }, byMs)),
      );
      if (isDecisive(known)) return known;
      if (known.kind !== 'no-such-job') return makeUnavailable('former-pool-unavailable');
    }
    return gateway.answer({ ...request, origin: { queue, version } }, answerByMs);
  };
  const queryAll = (
    request: Exclude<QueueRequest, { readonly kind: 'submit' }>,
    queue: string,
    answerByMs: number,
  ): readonly Promise<JobReply>[] => {
    const former = directory
      .listFormerPools(queue, request.pool)
      .map((pool): QueueRequest =>
        request.kind === 'cancel' ? { ...request, pool, isFormerPool: true } : { ...request, pool },
      );
    return [request, ...former].map((asked) => gateway.answer(asked, answerByMs));
  };
  return {
    answer: async (request, origin, answerByMs = Infinity) => {
      switch (request.kind) {
        case 'submit':
          return submit(request, origin, answerByMs);
        case 'status':
        case 'cancel': {
          const asked = { ...request, origin };
          // If not, there may be a pool that is not asked; one that becomes known meanwhile is not either.
          const areAllKnown = directory.hasRecorded(origin.version);
          const reply = await chooseReply(queryAll(asked, origin.queue, answerByMs));
          const isOpen = reply.kind === 'no-such-job' && !areAllKnown;
          return isOpen ? makeUnavailable('queue-unrecorded') : reply;
        }
        case 'pending':
          return sumPending(await Promise.all(queryAll(request, origin.queue, answerByMs)));
        default:
          return request satisfies never;
      }
    },
  };
}
