/**
 * Keeps a holder's authority over its duties: reads of the claims confirm it, and while the store is slow or
 * away every peer is asked directly. The same notice tells the peers that the holder lives, so that a
 * slow store takes no duty from it.
 */
import {
  decideRound,
  hasAuthority,
  type ClockPair,
  type DutyNotice,
  type PeerOutcome,
} from 'vanilladock/lib/duties/authority.js';
import type { Claim, Member } from 'vanilladock/lib/duties/claim-table.js';
import type { JsonLog } from '../json-log.js';
import { readMoment, waitMs } from './clock.js';

/** What authority is kept with. */
export interface DutyAuthorityOptions {
  readonly listHeld: () => readonly Claim[];
  /** Peers that were heard lately, and those that were heard in a longer time. */
  readonly listPeers: () => {
    readonly alive: readonly Member[];
    readonly known: readonly Member[];
  };
  readonly sendNotice: (peer: Member, notice: DutyNotice) => Promise<PeerOutcome>;
  /** Steady time of the store's last answer. */
  readonly getStoreContactMs: () => number;
  readonly dropDuty: (duty: string, why: string) => void;
  readonly log: JsonLog;
}

/** Authority of one instance. */
export interface DutyAuthority {
  /** Says whether orders may be given under a claim now. */
  readonly isInForce: (claim: Claim) => boolean;
  /** Notes a claim of this instance that was stored, by the moment at which it was sent or read. */
  readonly observeClaim: (claim: Claim, sent: ClockPair) => void;
  /** Notes that the store was asked for newer claims at a moment and has answered. */
  readonly observeRead: (sent: ClockPair) => void;
  /** Notes that a heartbeat that was sent at a steady time is stored. */
  readonly observeHeartbeat: (sentMs: number) => void;
  readonly start: () => void;
  readonly stop: () => void;
}

/** Peers are told that a holder lives when the store has stored no heartbeat for this long. */
const HEARTBEAT_LATE_MS = 800;

/** Peers are asked when nothing has confirmed the claims for this long: twice the poll of a holder, and some. */
const READ_LATE_MS = 1_300;

const ASK_EVERY_MS = 300;

/** Creates the authority of an instance. */
export function createDutyAuthority(options: DutyAuthorityOptions): DutyAuthority {
  const { listHeld, listPeers, sendNotice, getStoreContactMs, dropDuty, log } = options;
  const confirmed = new Map<string, ClockPair>();
  const lapsed = new Set<string>();
  let readMs = -Infinity;
  let heartbeatMs = -Infinity;
  let lastRound = '';
  let isStopped = false;

  const recordConfirmed = (duty: string, sent: ClockPair) => {
    const known = confirmed.get(duty);
    if (known === undefined || known.nowMs < sent.nowMs) confirmed.set(duty, sent);
  };
  const logChange = (claim: Claim, isInForce: boolean) => {
    const { duty, token } = claim;
    if (isInForce !== lapsed.has(duty)) return;
    if (isInForce) lapsed.delete(duty);
    else lapsed.add(duty);
    const event = isInForce ? 'authority-regained' : 'authority-lapsed';
    const ageMs = Math.round(performance.now() - (confirmed.get(duty)?.nowMs ?? 0));
    log.warn({ event, duty, token, confirmedAgoMs: ageMs });
  };
  /** Logs a round whose outcome differs from the one before. */
  const logRound = (figures: Readonly<Record<string, number>>) => {
    const text = JSON.stringify(figures);
    if (text === lastRound) return;
    lastRound = text;
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
    const { confirmed: duties, superseded } = decideRound(held, outcomes);
    duties.forEach((duty) => recordConfirmed(duty, sent));
    superseded.forEach(({ duty, token }) => {
      const own = listHeld().find((claim) => claim.duty === duty);
      if (own !== undefined && own.token < token) dropDuty(duty, 'peer-knows-newer');
    });
    logRound({
      peers: outcomes.length,
      silent: outcomes.filter(({ kind }) => kind === 'silent').length,
      held: held.length,
      confirmed: duties.length,
      superseded: superseded.length,
    });
  };
  const run = async () => {
    while (!isStopped) {
      const nowMs = performance.now();
      const isLate = nowMs - heartbeatMs > HEARTBEAT_LATE_MS || nowMs - readMs > READ_LATE_MS;
      if (isLate && listHeld().length > 0) await runRound();
      await waitMs(ASK_EVERY_MS);
    }
  };
  return {
    isInForce: (claim) => {
      const isInForce = hasAuthority(confirmed.get(claim.duty), readMoment());
      logChange(claim, isInForce);
      return isInForce;
    },
    observeClaim: (claim, sent) => recordConfirmed(claim.duty, sent),
    observeRead: (sent) => {
      readMs = Math.max(readMs, sent.nowMs);
      listHeld().forEach(({ duty }) => recordConfirmed(duty, sent));
    },
    observeHeartbeat: (sentMs) => {
      heartbeatMs = Math.max(heartbeatMs, sentMs);
    },
    start: () => void run(),
    stop: () => {
      isStopped = true;
    },
  };
}
