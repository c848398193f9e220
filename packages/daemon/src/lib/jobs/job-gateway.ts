/**
 * Answers callers' requests about jobs: from the pool's planner when this instance runs it, else
 * through the peer that does. A submission that cannot reach a planner is refused after the short
 * time that a planned hand-over takes; queries and cancels, which are idempotent, are retried for a
 * little longer.
 */
import type { Claim, Member } from 'vanilladock/lib/duties/claim-table.js';
import type { JsonLog } from '../json-log.js';
import { waitMs } from './clock.js';
import { RETRY_AFTER_MS, type JobReply, type JobRequest } from './job-request.js';
import type { PeerClient } from './peers.js';
import type { PoolRunner } from './pool-runner.js';

/** Dependencies of the gateway. */
export interface GatewayOptions {
  /** Finds the pool's planner on this instance; undefined when it does not run here. */
  readonly findRunner: (pool: string) => PoolRunner | undefined;
  /** As `findHolder` of the claims. */
  readonly findHolder: (
    duty: string,
  ) => { readonly claim: Claim; readonly member: Member } | undefined;
  readonly listMembers: () => readonly Member[];
  readonly selfId: string;
  readonly peers: PeerClient;
  readonly log: JsonLog;
}

/** Answers requests about jobs of all pools. */
export interface JobGateway {
  /**
   * Answers a request; retries for a limited time while no planner can be reached. A failure is in
   * the reply: `unavailable` if nothing was done, `unknown` if a change may have taken effect.
   */
  readonly answer: (request: JobRequest) => Promise<JobReply>;
  /** As `answer` but without retries; follows one redirect to the peer that plans the pool. */
  readonly answerOnce: (request: JobRequest) => Promise<JobReply>;
  /** Answers a peer's request without forwarding it; `elsewhere` names the known planner. */
  readonly answerLocally: (request: JobRequest) => Promise<JobReply>;
}

/** Makes the name of the duty to plan a pool. */
export function makePoolDuty(pool: string): string {
  return `pool/${pool}`;
}

/** Finds the id of the job that a request is about; undefined if it is about none. */
function findJobId(request: JobRequest): string | undefined {
  if (request.kind === 'submit') return request.spec.id;
  return 'jobId' in request ? request.jobId : undefined;
}

const SUBMIT_TIMEOUT_MS = 1_000;
const QUERY_TIMEOUT_MS = 700;

/** How long a query or cancel is retried. */
const QUERY_RETRY_LIMIT_MS = 1_800;

/** Pause between two attempts. */
const RETRY_PAUSE_MS = 150;

/** How long a submission is retried while no planner is available, as during a hand-over. */
const HANDOVER_RETRY_LIMIT_MS = 300;

/** How long a submission that may have been stored is retried until its acceptance is confirmed. */
const SUBMIT_RETRY_LIMIT_MS = 2_200;

/** Creates the gateway. */
export function createJobGateway(options: GatewayOptions): JobGateway {
  const { findRunner, findHolder, listMembers, selfId, peers, log } = options;
  const refuse = (why: string): JobReply => ({
    kind: 'unavailable',
    why,
    retryAfterMs: RETRY_AFTER_MS,
  });
  const answerLocally = async (request: JobRequest): Promise<JobReply> => {
    const runner = findRunner(request.pool);
    if (runner !== undefined) return runner.answer(request);
    const holder = findHolder(makePoolDuty(request.pool));
    return holder === undefined || holder.member.id === selfId
      ? refuse('not-the-planner')
      : { kind: 'elsewhere', holder: holder.member };
  };
  const sendRequest = (peer: Member, request: JobRequest) =>
    peers.send(peer, request, request.kind === 'submit' ? SUBMIT_TIMEOUT_MS : QUERY_TIMEOUT_MS);
  /** Finds the peer to call: the known planner, else a random peer, which may know the planner. */
  const findPeer = (pool: string): Member | undefined => {
    const holder = findHolder(makePoolDuty(pool))?.member;
    if (holder !== undefined && holder.id !== selfId) return holder;
    const others = listMembers().filter((member) => member.id !== selfId);
    return others[Math.floor(Math.random() * others.length)];
  };
  const answerOnce = async (request: JobRequest): Promise<JobReply> => {
    if (findRunner(request.pool) !== undefined) return answerLocally(request);
    const peer = findPeer(request.pool);
    if (peer === undefined) return refuse('no-planner');
    const reply = await sendRequest(peer, request);
    if (reply.kind !== 'elsewhere') return reply;
    if (reply.holder.id === selfId || reply.holder.id === peer.id) return refuse('no-planner');
    const redirected = await sendRequest(reply.holder, request);
    return redirected.kind === 'elsewhere' ? refuse('no-planner') : redirected;
  };
  /** Logs a request that took more than one attempt. */
  const logRetries = (request: JobRequest, reply: JobReply, attempts: number, ageMs: number) => {
    if (attempts === 1) return;
    const { kind, pool } = request;
    log.info({
      event: 'call-retried',
      kind,
      pool,
      jobId: findJobId(request),
      attempts,
      holder: findHolder(makePoolDuty(pool))?.member.name,
      ageMs: Math.round(ageMs),
      outcome: reply.kind,
      why: 'why' in reply ? reply.why : undefined,
    });
  };
  /**
   * Answers a submission. After a missing reply the job may have been stored, so from then on only
   * an acceptance is final: a retry with the same id is harmless, whereas a refusal could be wrong.
   */
  const answerSubmission = async (request: JobRequest): Promise<JobReply> => {
    const startedMs = performance.now();
    let mayBeStored = false;
    for (let attempts = 1; ; attempts += 1) {
      const reply = await answerOnce(request);
      const ageMs = performance.now() - startedMs;
      if (reply.kind === 'unknown') mayBeStored = true;
      const isRefusal = reply.kind === 'refused' || reply.kind === 'unavailable';
      const isWorthWaiting = reply.kind === 'unavailable' && ageMs <= HANDOVER_RETRY_LIMIT_MS;
      const isFinalRefusal = isRefusal && !mayBeStored && !isWorthWaiting;
      const isAnswered = !isRefusal && reply.kind !== 'unknown';
      if (isFinalRefusal || isAnswered || ageMs > SUBMIT_RETRY_LIMIT_MS) {
        logRetries(request, reply, attempts, ageMs);
        return isFinalRefusal || isAnswered
          ? reply
          : { kind: 'unknown', why: 'no planner has confirmed it' };
      }
      await waitMs(RETRY_PAUSE_MS);
    }
  };
  return {
    answerLocally,
    answerOnce,
    answer: async (request) => {
      if (request.kind === 'submit') return answerSubmission(request);
      const startedMs = performance.now();
      for (let attempts = 1; ; attempts += 1) {
        const reply = await answerOnce(request);
        const ageMs = performance.now() - startedMs;
        const isFinal = reply.kind !== 'unavailable' && reply.kind !== 'unknown';
        if (isFinal || ageMs > QUERY_RETRY_LIMIT_MS) {
          logRetries(request, reply, attempts, ageMs);
          return reply;
        }
        await waitMs(RETRY_PAUSE_MS);
      }
    },
  };
}
