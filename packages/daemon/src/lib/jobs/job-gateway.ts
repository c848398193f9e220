/**
 * Answers callers' requests about jobs: from the pool's planner when this instance runs it, else
 * through the peer that does, with retries while no planner can be reached.
 */
import type { Claim, Member } from 'vanilladock/lib/duties/claim-table.js';
import type { JsonLog } from '../json-log.js';
import { waitMs } from './clock.js';
import { makeUnavailable, type JobReply, type JobRequest } from './job-request.js';
import type { PeerClient } from './peers.js';
import type { PoolRunner } from './pool-runner.js';
import {
  chooseFinalReply,
  computePeerTimeoutMs,
  decideRetry,
  RETRY_PAUSE_MS,
} from './request-retries.js';

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
  /** As `mayBeOld` of the watch of the input's age. */
  readonly mayBeOld: () => boolean;
  readonly log: JsonLog;
}

/** Answers requests about jobs of all pools. */
export interface JobGateway {
  /**
   * Answers a request; retries for a limited time while no planner can be reached, and starts no
   * attempt that could not end by the monotonic time `answerByMs`. A failure is in the reply:
   * `unavailable` if nothing was done, `unknown` if a change may have taken effect.
   */
  readonly answer: (request: JobRequest, answerByMs?: number) => Promise<JobReply>;
  /** As `answer` but without retries; follows one redirect to the peer that plans the pool. */
  readonly answerOnce: (request: JobRequest, answerByMs?: number) => Promise<JobReply>;
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

/** Creates the gateway. */
export function createJobGateway(options: GatewayOptions): JobGateway {
  const { findRunner, findHolder, listMembers, selfId, peers, mayBeOld, log } = options;
  const answerLocally = async (request: JobRequest): Promise<JobReply> => {
    const runner = findRunner(request.pool);
    if (runner !== undefined) return runner.answer(request);
    const holder = findHolder(makePoolDuty(request.pool));
    return holder === undefined || holder.member.id === selfId
      ? makeUnavailable('not-the-planner')
      : { kind: 'elsewhere', holder: holder.member };
  };
  const sendRequest = (peer: Member, request: JobRequest, answerByMs: number) => {
    const leftMs = Math.max(0, answerByMs - performance.now());
    return peers.send(peer, request, Math.min(computePeerTimeoutMs(request.kind), leftMs));
  };
  /** Finds the peer to call: the known planner, else a random peer, which may know the planner. */
  const findPeer = (pool: string): Member | undefined => {
    const holder = findHolder(makePoolDuty(pool))?.member;
    if (holder !== undefined && holder.id !== selfId) return holder;
    const others = listMembers().filter((member) => member.id !== selfId);
    return others[Math.floor(Math.random() * others.length)];
  };
  /** Says whether the instance was paused so long that a submission must not be sent any more. */
  const isTooOld = ({ kind }: JobRequest) => kind === 'submit' && mayBeOld();
  const answerOnce = async (request: JobRequest, answerByMs = Infinity): Promise<JobReply> => {
    if (isTooOld(request)) return makeUnavailable('input-old');
    if (findRunner(request.pool) !== undefined) return answerLocally(request);
    const peer = findPeer(request.pool);
    if (peer === undefined) return makeUnavailable('no-planner');
    const reply = await sendRequest(peer, request, answerByMs);
    if (reply.kind !== 'elsewhere') return reply;
    if (reply.holder.id === selfId || reply.holder.id === peer.id)
      return makeUnavailable('no-planner');
    if (isTooOld(request)) return makeUnavailable('input-old');
    const redirected = await sendRequest(reply.holder, request, answerByMs);
    return redirected.kind === 'elsewhere' ? makeUnavailable('no-planner') : redirected;
  };
  /** Adds when this instance received a change from its caller. */
  const addReceipt = (request: JobRequest): JobRequest =>
    request.kind === 'submit' || request.kind === 'cancel'
      ? { ...request, receipt: { instance: selfId, receivedAtMs: Date.now() } }
      : request;
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
  const answer = async (received: JobRequest, answerByMs = Infinity): Promise<JobReply> => {
    const request = addReceipt(received);
    const { kind } = request;
    const isChange = kind === 'submit' || kind === 'cancel';
    const startedMs = performance.now();
    let mayBeStored = false;
    for (let attempts = 1; ; attempts += 1) {
      const reply = await answerOnce(request, answerByMs);
      const nowMs = performance.now();
      const ageMs = nowMs - startedMs;
      mayBeStored ||= isChange && reply.kind === 'unknown';
      const attempt = { kind, reply, mayBeStored, ageMs, leftMs: answerByMs - nowMs };
      if (decideRetry(attempt) === 'final') {
        logRetries(request, reply, attempts, ageMs);
        return chooseFinalReply(attempt);
      }
      await waitMs(RETRY_PAUSE_MS);
    }
  };
  return { answerLocally, answerOnce, answer };
}
