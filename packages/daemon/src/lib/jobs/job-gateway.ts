/**
 * Answers callers' requests about jobs: at the pool's planner when this instance runs it, else through
 * the peer that does. A submission that cannot reach the planner is refused at once; questions and
 * cancels, which may be repeated without harm, are tried again for a moment.
 */
import type { Claim, Member } from 'vanilladock/lib/duties/claim-table.js';
import { waitMs } from './clock.js';
import type { JobReply, JobRequest } from './job-request.js';
import type { PeerClient } from './peers.js';
import type { PoolRunner } from './pool-runner.js';

/** What the gateway needs. */
export interface GatewayOptions {
  readonly findRunner: (pool: string) => PoolRunner | undefined;
  readonly findHolder: (
    duty: string,
  ) => { readonly claim: Claim; readonly member: Member } | undefined;
  readonly selfId: string;
  readonly peers: PeerClient;
}

/** Answers requests. */
export interface JobGateway {
  readonly answer: (request: JobRequest) => Promise<JobReply>;
  /** Answers a request with one try. */
  readonly answerOnce: (request: JobRequest) => Promise<JobReply>;
  /** Answers a peer's request without passing it on. */
  readonly answerLocally: (request: JobRequest) => Promise<JobReply>;
}

/** A duty's name for the planner of a pool. */
export function makePoolDuty(pool: string): string {
  return `pool/${pool}`;
}

const RETRY_AFTER_MS = 1_000;
const SUBMIT_TIMEOUT_MS = 1_500;
const ASK_TIMEOUT_MS = 700;

/** How long a repeatable request looks for a planner. */
const ASK_PATIENCE_MS = 1_800;
const ASK_PAUSE_MS = 150;

/** Creates the gateway. */
export function createJobGateway(options: GatewayOptions): JobGateway {
  const { findRunner, findHolder, selfId, peers } = options;
  const refuse = (why: string): JobReply => ({
    kind: 'unavailable',
    why,
    retryAfterMs: RETRY_AFTER_MS,
  });
  const answerLocally = async (request: JobRequest): Promise<JobReply> => {
    const runner = findRunner(request.pool);
    return runner === undefined ? refuse('not-the-planner') : runner.answer(request);
  };
  const answerOnce = async (request: JobRequest): Promise<JobReply> => {
    if (findRunner(request.pool) !== undefined) return answerLocally(request);
    const holder = findHolder(makePoolDuty(request.pool));
    if (holder === undefined || holder.member.id === selfId) return refuse('no-planner');
    const timeoutMs = request.kind === 'submit' ? SUBMIT_TIMEOUT_MS : ASK_TIMEOUT_MS;
    return peers.send(holder.member, request, timeoutMs);
  };
  return {
    answerLocally,
    answerOnce,
    answer: async (request) => {
      if (request.kind === 'submit') return answerOnce(request);
      const startedMs = performance.now();
      for (;;) {
        const reply = await answerOnce(request);
        const isFinal = reply.kind !== 'unavailable' && reply.kind !== 'unknown';
        if (isFinal || performance.now() - startedMs > ASK_PATIENCE_MS) return reply;
        await waitMs(ASK_PAUSE_MS);
      }
    },
  };
}
