/**
 * Maintains a holder's authority over its duties: reads of the claims confirm it, and while the
 * store is slow or unavailable every peer is queried directly. The same notice shows the peers that
 * the holder is alive, so that a slow store does not cost it its duties.
 */
import {
  decideRound,
  hasAuthority,
  type DutyNotice,
  type PeerOutcome,
} from 'vanilladock/lib/duties/authority.js';
import type { ClockPair } from 'vanilladock/lib/clock-pair.js';
import type { Claim, Member } from 'vanilladock/lib/duties/claim-table.js';
import type { JsonLog } from '../json-log.js';
import { readMoment, waitMs } from './clock.js';
import { runEndlessLoop } from './endless-loop.js';

/** Dependencies of a duty authority. */
export interface DutyAuthorityOptions {
  /** Lists the claims that this instance holds now. */
  readonly listHeld: () => readonly Claim[];
  /** Peers with a recent report (`alive`), and all with a report within a longer time (`known`). */
  readonly listPeers: () => {
    readonly alive: readonly Member[];
    readonly known: readonly Member[];
  };
  /** Sends a notice; resolves to `silent` when the peer does not answer. */
  readonly sendNotice: (peer: Member, notice: DutyNotice) => Promise<PeerOutcome>;
  /** Monotonic time of the store's last response, in milliseconds. */
  readonly getStoreContactMs: () => number;
  /** Gives up a duty on which a peer knows a newer claim. */
  readonly dropDuty: (duty: string, why: string) => void;
  readonly log: JsonLog;
}

/** Authority of one instance. */
export interface DutyAuthority {
  /**
   * Says whether orders may be given under a claim now: false when it is not held, or no longer,
   * and when no confirmation is recent enough or there was none. Authority over a held claim can
   * return with a later confirmation; each change is logged.
   */
  readonly isInForce: (claim: Claim) => boolean;
  /** Records that a claim of this instance was stored; `sent` is when it was sent or read. */
  readonly observeClaim: (claim: Claim, sent: ClockPair) => void;
  /** Records that a read of newer claims, sent at `sent`, has confirmed every held claim. */
  readonly observeRead: (sent: ClockPair) => void;
  /** Records that a heartbeat sent at `sentMs` (monotonic) is stored. */
  readonly observeHeartbeat: (sentMs: number) => void;
  /** Starts the rounds of notices, which run only while the store is slow or unavailable. */
  readonly start: () => void;
  /** Ends the rounds after the one in progress. */
  readonly stop: () => void;
}

/** A holder notifies its peers when the store has stored none of its heartbeats for this long. */
const HEARTBEAT_LATE_MS = 800;

/**
 * A holder queries its peers when no read has confirmed its claims for this long, which is longer
 * than two polls of a holder.
 */
const READ_LATE_MS = 1_300;

/** Interval between two rounds of notices. */
const QUERY_INTERVAL_MS = 300;

/** Creates the authority of an instance. */
export function createDutyAuthority(options: DutyAuthorityOptions): DutyAuthority {
  const { listHeld, listPeers, sendNotice, getStoreContactMs, dropDuty, log } = options;
  /** Sending time of the newest call that confirmed the claim, by duty. */
  const confirmedAt = new Map<string, ClockPair>();
  const lapsed = new Set<string>();
  let lastReadMs = -Infinity;
  let lastHeartbeatMs = -Infinity;
  let lastFigures = '';
  let isStopped = false;

  const recordConfirmed = (duty: string, sent: ClockPair) => {
    const previous = confirmedAt.get(duty);
    if (previous === undefined || previous.nowMs < sent.nowMs) confirmedAt.set(duty, sent);
  };
  const isHeld = ({ duty, token }: Claim) =>
    listHeld().some((held) => held.duty === duty && held.token === token);
  const logChange = (claim: Claim, isInForce: boolean) => {
    const { duty, token } = claim;
    if (isInForce !== lapsed.has(duty)) return;
    if (isInForce) lapsed.delete(duty);
    else lapsed.add(duty);
    const event = isInForce ? 'authority-regained' : 'authority-lapsed';
    const ageMs = Math.round(performance.now() - (confirmedAt.get(duty)?.nowMs ?? 0));
    log.warn({ event, duty, token, confirmedAgoMs: ageMs });
  };
  /** Logs a round unless its figures equal those of the previous one. */
  const logRound = (figures: Readonly<Record<string, number>>) => {
    const text = JSON.stringify(figures);
    if (text === lastFigures) return;
    lastFigures = text;
    log.info({ event: 'duties-asked', ...figures });
  };
  const runRound = async () => {
    const held = listHeld();
    const sent = readMoment();
    const notice = { storeAgeMs: Math.max(0, sent.nowMs - getStoreContactMs()), held };
    const { alive, known } = listPeers();
    const aliveIds = new Set(alive.map(({ id }) => id));
    const outcomes = await Promise.all(
      known.map(async (peer) => ({
        ...(await sendNotice(peer, notice)),
        wasAlive: aliveIds.has(peer.id),
      })),
    );
    const { confirmed: confirmedDuties, superseded } = decideRound(held, outcomes);
    confirmedDuties.forEach((duty) => recordConfirmed(duty, sent));
    superseded.forEach(({ duty, token }) => {
      const ownClaim = listHeld().find((claim) => claim.duty === duty);
      if (ownClaim !== undefined && ownClaim.token < token) dropDuty(duty, 'peer-knows-newer');
    });
    logRound({
      peers: outcomes.length,
      silent: outcomes.filter(({ kind }) => kind === 'silent').length,
      held: held.length,
      confirmed: confirmedDuties.length,
      superseded: superseded.length,
    });
  };
  const runRoundIfLate = async () => {
    const nowMs = performance.now();
    const isLate = nowMs - lastHeartbeatMs > HEARTBEAT_LATE_MS || nowMs - lastReadMs > READ_LATE_MS;
    if (isLate && listHeld().length > 0) await runRound();
    await waitMs(QUERY_INTERVAL_MS);
  };
  return {
    isInForce: (claim) => {
      if (!isHeld(claim)) return false;
      const isInForce = hasAuthority(confirmedAt.get(claim.duty), readMoment());
      logChange(claim, isInForce);
      return isInForce;
    },
    observeClaim: (claim, sent) => recordConfirmed(claim.duty, sent),
    observeRead: (sent) => {
      lastReadMs = Math.max(lastReadMs, sent.nowMs);
      listHeld().forEach(({ duty }) => recordConfirmed(duty, sent));
    },
    observeHeartbeat: (sentMs) => {
      lastHeartbeatMs = Math.max(lastHeartbeatMs, sentMs);
    },
    start: () => {
      const isOver = () => isStopped;
      const loop = { where: 'authority', log, isStopped: isOver, runRound: runRoundIfLate };
      void runEndlessLoop(loop);
    },
    stop: () => {
      isStopped = true;
    },
  };
}
