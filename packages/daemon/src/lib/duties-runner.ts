/**
 * Runs the duties of one entry: looks at each in short rounds, appends the claims that the decision
 * asks for in one batch, and tells by which fencing token the entry may act. A lease counts only once
 * its claim has been read back from the log, and from before it was sent.
 */
import { randomUUID } from 'node:crypto';
import {
  decideDuty,
  getFence,
  type ClaimRecord,
  type DutyAction,
  type DutyView,
} from 'vanilladock';
import type { JsonLog } from './json-log.js';
import type { LogAppender } from './log-appender.js';
import type { LogFollower } from './log-follower.js';

/** What running duties needs from the entry. */
export interface DutiesOptions {
  readonly id: string;
  /** Names of all duties, such as `log-snapshots` or `placement-3`. */
  readonly listDuties: () => readonly string[];
  /** Ids of the live entries as far as is known. */
  readonly listLiveEntries: () => readonly string[];
  readonly follower: Pick<LogFollower, 'store' | 'getReadableSince'>;
  readonly appender: Pick<LogAppender, 'append'>;
  readonly log: JsonLog;
  readonly leaseMs?: number;
}

/** The duties of one entry. */
export interface DutiesRunner {
  /** Gets the fencing token with which this entry may act on a duty now; undefined when it may not. */
  readonly getFence: (duty: string) => number | undefined;
  /** Gives all duties back and stops. */
  readonly stop: () => Promise<void>;
}

interface Watched {
  readonly claimOffset: number;
  readonly seenAtMs: number;
}

interface Sent {
  readonly id: string;
  readonly atMs: number;
}

const ROUND_MS = 250;
const SENT_KEPT = 4;

/** Starts running duties. */
export function startDutiesRunner(options: DutiesOptions): DutiesRunner {
  const { follower, appender, log } = options;
  const watched = new Map<string, Watched>();
  const sent = new Map<string, readonly Sent[]>();
  const released = new Map<string, number>();
  const held = new Set<string>();
  let isStopping = false;

  const getClaim = (duty: string) => follower.store.getState().duties.claims.get(duty);
  const watchDuty = (duty: string, nowMs: number): Watched => {
    const claimOffset = getClaim(duty)?.offset ?? -1;
    const known = watched.get(duty);
    if (known?.claimOffset === claimOffset) return known;
    const seen = { claimOffset, seenAtMs: nowMs };
    watched.set(duty, seen);
    return seen;
  };
  const buildView = (duty: string, nowMs: number): DutyView => {
    const claim = getClaim(duty);
    const ownSent = sent.get(duty) ?? [];
    const last = ownSent.at(-1);
    const isReadBack = last === undefined || last.id === claim?.id;
    return {
      duty,
      selfId: options.id,
      claim,
      seenAtMs: watchDuty(duty, nowMs).seenAtMs,
      sentAtMs: ownSent.find(({ id }) => id === claim?.id)?.atMs,
      pendingAtMs: isReadBack ? undefined : last.atMs,
      releasedOffset: released.get(duty) ?? -1,
      readableSinceMs: follower.getReadableSince(),
      liveIds: options.listLiveEntries(),
      isStopping,
    };
  };
  const buildClaim = (duty: string, action: DutyAction, nowMs: number): readonly ClaimRecord[] => {
    if (action.kind === 'none') return [];
    const id = randomUUID();
    sent.set(duty, [...(sent.get(duty) ?? []), { id, atMs: nowMs }].slice(-SENT_KEPT));
    if (action.kind === 'release') released.set(duty, action.follows);
    const leaseMs = action.kind === 'claim' ? action.leaseMs : 0;
    const head = { version: 1, id, by: options.id, at: Date.now() } as const;
    return [{ ...head, kind: 'duty.claim', duty, follows: action.follows, leaseMs }];
  };
  const logHolding = (duty: string, view: DutyView, nowMs: number) => {
    const fence = getFence(view, nowMs);
    if ((fence !== undefined) === held.has(duty)) return;
    if (fence === undefined) held.delete(duty);
    else held.add(duty);
    log.info({ event: fence === undefined ? 'duty-ended' : 'duty-held', duty, fence });
  };
  const decideOne = (duty: string): readonly ClaimRecord[] => {
    const nowMs = performance.now();
    const view = buildView(duty, nowMs);
    logHolding(duty, view, nowMs);
    return buildClaim(duty, decideDuty(view, nowMs, options.leaseMs), nowMs);
  };
  const runRound = () => appender.append(options.listDuties().flatMap(decideOne));

  const timer = setInterval(() => void runRound(), ROUND_MS);
  return {
    getFence: (duty) => {
      const nowMs = performance.now();
      return getFence(buildView(duty, nowMs), nowMs);
    },
    stop: async () => {
      clearInterval(timer);
      isStopping = true;
      await runRound();
    },
  };
}
