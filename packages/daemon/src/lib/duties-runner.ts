/**
 * Claims, renews and releases duties for one entry: checks every duty once a round, appends the
 * claims that are due in one batch, and provides the fencing token with which the entry may act on
 * a duty. A lease is valid only once its claim has been read back from the log, and runs from the
 * time just before the claim was sent.
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

/** What the duties runner needs from the entry. */
export interface DutiesOptions {
  readonly id: string;
  /** Lists the names of all duties, such as `log-snapshots` or `placement-3`. */
  readonly listDuties: () => readonly string[];
  /** Lists the ids of the live entries known to this one. */
  readonly listLiveEntries: () => readonly string[];
  readonly follower: Pick<LogFollower, 'store' | 'getReadableSince'>;
  readonly appender: Pick<LogAppender, 'append'>;
  readonly log: JsonLog;
  /** Length of a lease in milliseconds; the default of `decideDuty` when omitted. */
  readonly leaseMs?: number;
}

/** Gives access to the duties of one entry. */
export interface DutiesRunner {
  /** Returns the fencing token to act on a duty with now; undefined when this entry may not act. */
  readonly getFence: (duty: string) => number | undefined;
  /** Releases all duties and stops. */
  readonly stop: () => Promise<void>;
}

/** The newest claim of a duty and when this entry first saw it. */
interface ObservedClaim {
  readonly claimOffset: number;
  readonly seenAtMs: number;
}

/** A claim that this entry appended. */
interface SentClaim {
  readonly id: string;
  readonly atMs: number;
}

const ROUND_INTERVAL_MS = 250;
const MAX_SENT_CLAIMS = 4;

/** Starts checking the duties once a round. */
export function startDutiesRunner(options: DutiesOptions): DutiesRunner {
  const { follower, appender, log } = options;
  const observedClaims = new Map<string, ObservedClaim>();
  const sentClaims = new Map<string, readonly SentClaim[]>();
  const releasedOffsets = new Map<string, number>();
  const heldDuties = new Set<string>();
  let isStopping = false;

  const getClaim = (duty: string) => follower.store.getState().duties.claims.get(duty);
  const observeClaim = (duty: string, nowMs: number): ObservedClaim => {
    const claimOffset = getClaim(duty)?.offset ?? -1;
    const known = observedClaims.get(duty);
    if (known?.claimOffset === claimOffset) return known;
    const observed = { claimOffset, seenAtMs: nowMs };
    observedClaims.set(duty, observed);
    return observed;
  };
  const buildView = (duty: string, nowMs: number): DutyView => {
    const claim = getClaim(duty);
    const ownClaims = sentClaims.get(duty) ?? [];
    const last = ownClaims.at(-1);
    const isReadBack = last === undefined || last.id === claim?.id;
    return {
      duty,
      selfId: options.id,
      claim,
      seenAtMs: observeClaim(duty, nowMs).seenAtMs,
      sentAtMs: ownClaims.find(({ id }) => id === claim?.id)?.atMs,
      pendingAtMs: isReadBack ? undefined : last.atMs,
      releasedOffset: releasedOffsets.get(duty) ?? -1,
      readableSinceMs: follower.getReadableSince(),
      liveIds: options.listLiveEntries(),
      isStopping,
    };
  };
  const buildClaim = (duty: string, action: DutyAction, nowMs: number): readonly ClaimRecord[] => {
    if (action.kind === 'none') return [];
    const id = randomUUID();
    sentClaims.set(
      duty,
      [...(sentClaims.get(duty) ?? []), { id, atMs: nowMs }].slice(-MAX_SENT_CLAIMS),
    );
    if (action.kind === 'release') releasedOffsets.set(duty, action.follows);
    const leaseMs = action.kind === 'claim' ? action.leaseMs : 0;
    const head = { version: 1, id, by: options.id, at: Date.now() } as const;
    return [{ ...head, kind: 'duty.claim', duty, follows: action.follows, leaseMs }];
  };
  const logHolding = (duty: string, view: DutyView, nowMs: number) => {
    const fence = getFence(view, nowMs);
    if ((fence !== undefined) === heldDuties.has(duty)) return;
    if (fence === undefined) heldDuties.delete(duty);
    else heldDuties.add(duty);
    log.info({ event: fence === undefined ? 'duty-ended' : 'duty-held', duty, fence });
  };
  const decideClaims = (duty: string): readonly ClaimRecord[] => {
    const nowMs = performance.now();
    const view = buildView(duty, nowMs);
    logHolding(duty, view, nowMs);
    return buildClaim(duty, decideDuty(view, nowMs, options.leaseMs), nowMs);
  };
  const runRound = () => appender.append(options.listDuties().flatMap(decideClaims));

  const timer = setInterval(() => void runRound(), ROUND_INTERVAL_MS);
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
