/**
 * Answers callers' requests about jobs: at the pool's planner when this instance runs it, else through
 * the peer that does. A submission that cannot reach a planner is refused after the short time that a
 * planned hand-over takes; questions and cancels, which may be repeated without harm, are tried again
 * for a moment.
 */
import type { Claim, Member } from 'vanilladock/lib/duties/claim-table.js';
import { waitMs } from './clock.js';
import { RETRY_AFTER_MS, type JobReply, type JobRequest } from './job-request.js';
import type { PeerClient } from './peers.js';
import type { PoolRunner } from './pool-runner.js';

/** What the gateway needs. */
export interface GatewayOptions {
  readonly findRunner: (pool: string) => PoolRunner | undefined;
  readonly findHolder: (
    duty: string,
  ) => { readonly claim: Claim; readonly member: Member } | undefined;
  readonly listMembers: () => readonly Member[];
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

const SUBMIT_TIMEOUT_MS = 1_000;
const ASK_TIMEOUT_MS = 700;

/** How long a repeatable request looks for a planner. */
const ASK_PATIENCE_MS = 1_800;
const ASK_PAUSE_MS = 150;

/** How long a submission waits for a planner that is being replaced. */
const HANDOVER_PATIENCE_MS = 300;

/** How long a submission that may be stored is asked about. */
const SUBMIT_PATIENCE_MS = 2_200;

/** Creates the gateway. */
export function createJobGateway(options: GatewayOptions): JobGateway {
  const { findRunner, findHolder, listMembers, selfId, peers } = options;
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
  const sendToPeer = (peer: Member, request: JobRequest) =>
    peers.send(peer, request, request.kind === 'submit' ? SUBMIT_TIMEOUT_MS : ASK_TIMEOUT_MS);
  /** Finds whom to ask: the planner as known here, else any peer, which may know it. */
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
    const reply = await sendToPeer(peer, request);
    if (reply.kind !== 'elsewhere') return reply;
    if (reply.holder.id === selfId || reply.holder.id === peer.id) return refuse('no-planner');
    const second = await sendToPeer(reply.holder, request);
    return second.kind === 'elsewhere' ? refuse('no-planner') : second;
  };
  /**
   * Answers a submission. One without an answer may be stored, so from then on only its acceptance is
   * an answer: asking again with the same id is harmless, a refusal could be untrue.
   */
  const answerSubmission = async (request: JobRequest): Promise<JobReply> => {
    const startedMs = performance.now();
    let mayBeStored = false;
    for (;;) {
      const reply = await answerOnce(request);
      const ageMs = performance.now() - startedMs;
      if (reply.kind === 'unknown') mayBeStored = true;
      const isRefusal = reply.kind === 'refused' || reply.kind === 'unavailable';
      const isWorthWaiting = reply.kind === 'unavailable' && ageMs <= HANDOVER_PATIENCE_MS;
      if (isRefusal && !mayBeStored && !isWorthWaiting) return reply;
      if (!isRefusal && reply.kind !== 'unknown') return reply;
      if (ageMs > SUBMIT_PATIENCE_MS)
        return { kind: 'unknown', why: 'no planner has confirmed it' };
      await waitMs(ASK_PAUSE_MS);
    }
  };
  return {
    answerLocally,
    answerOnce,
    answer: async (request) => {
      if (request.kind === 'submit') return answerSubmission(request);
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
