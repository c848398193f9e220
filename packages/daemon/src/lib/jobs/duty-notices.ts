/**
 * Notices between instances about who holds which duty: a holder notifies its peers that it is
 * alive, and a successor notifies the preceding holder of its claim.
 */
import type { BehaviorSubject } from 'rxjs';
import {
  SUCCESSION_MS,
  type DutyHandOver,
  type DutyNotice,
  type PeerDutyView,
  type PeerOutcome,
} from 'vanilladock/lib/duties/authority.js';
import type { Claim, ClaimTable, Member } from 'vanilladock/lib/duties/claim-table.js';
import type { TimedHandOver } from 'vanilladock/lib/jobs/hand-over.js';
import type { JsonLog } from '../json-log.js';
import { waitMs } from './clock.js';
import type { SentNotice } from './peer-messages.js';

/** Dependencies of the notices, and the state that they change. */
export interface DutyNoticeOptions {
  readonly self: Member;
  readonly table: ClaimTable;
  /** Claims that this instance holds, by duty. */
  readonly held: BehaviorSubject<ReadonlyMap<string, Claim>>;
  /** Duties on which this instance has sent a claim whose outcome it does not know. */
  readonly pendingClaims: ReadonlySet<string>;
  /** Finds the claim that this instance's newest claim on a duty followed; undefined if none. */
  readonly findPrevious: (duty: string) => Claim | undefined;
  readonly sendNotice: (peer: Member, notice: SentNotice) => Promise<PeerOutcome>;
  /** Monotonic time of the store's last response, in milliseconds. */
  readonly getStoreContactMs: () => number;
  /** Monotonic time since which this instance has received members' reports without a gap. */
  readonly getReportsSinceMs: () => number;
  readonly dropDuty: (duty: string, why: string) => void;
  /** As `observeNewer` of the unclaimed duties. */
  readonly observeNewer: (claim: Claim) => void;
  /** Finds what this instance tells the next holder of a duty that it has given up. */
  readonly findHandOver: (duty: string) => DutyHandOver | undefined;
  readonly isStopped: () => boolean;
  readonly log: JsonLog;
}

/** What is known of the holder that precedes a claim. */
export interface Predecessor {
  /** Whether it is known to have stopped. */
  readonly hasStopped: boolean;
  /** Token of the claim that precedes; undefined if there is none, or an old release hides it. */
  readonly token: number | undefined;
  /** What it has told; undefined if it has not answered or does not know. */
  readonly told: TimedHandOver | undefined;
  /** Monotonic time in milliseconds since which this is known. */
  readonly knownMs: number;
}

/** Notices of one instance. */
export interface DutyNotices {
  /** Sends a notice in this instance's name; a peer that answers counts as alive. */
  readonly send: (peer: Member, notice: DutyNotice) => Promise<PeerOutcome>;
  /**
   * Processes a holder's notice: its sender counts as alive, and a duty on which it has a newer
   * claim is given up. Returns newer claims and pending own claims on the duties that it names.
   */
  readonly answer: (notice: SentNotice) => PeerDutyView;
  /**
   * Resolves to what is known of the holder preceding a claim of this instance; it has stopped if
   * none is known. Sends the claim until the predecessor answers; it has not stopped when it has
   * not answered within `SUCCESSION_MS` or this instance stops.
   */
  readonly queryPredecessor: (claim: Claim) => Promise<Predecessor>;
}

/** Pause between notices to a predecessor that does not answer. */
const RETRY_MS = 250;

/** Creates the notices of an instance. */
export function createDutyNotices(options: DutyNoticeOptions): DutyNotices {
  const { self, table, held, pendingClaims, findPrevious, dropDuty, isStopped, log } = options;
  const send = async (peer: Member, notice: DutyNotice) => {
    const outcome = await options.sendNotice(peer, { ...notice, member: self });
    if (outcome.kind === 'answered') table.observeMember(peer, performance.now());
    return outcome;
  };
  /** Lists what the holders of older claims of this instance tell those of the given ones. */
  const listHandOvers = (claims: readonly Claim[]): readonly DutyHandOver[] =>
    claims.flatMap(({ duty, token }) => {
      const handOver = options.findHandOver(duty);
      return handOver !== undefined && handOver.token < token ? [handOver] : [];
    });
  const findNewer = ({ duty, token }: Claim): readonly Claim[] => {
    const newest = held.value.get(duty) ?? table.findClaim(duty);
    return newest !== undefined && newest.token > token ? [newest] : [];
  };
  /** Notifies a member of a claim; undefined if it has not answered. */
  const sendClaim = async (member: Member, claim: Claim): Promise<PeerDutyView | undefined> => {
    const storeAgeMs = Math.max(0, performance.now() - options.getStoreContactMs());
    const outcome = await send(member, { storeAgeMs, held: [claim] });
    return outcome.kind === 'answered' ? outcome.view : undefined;
  };
  /** Asks a predecessor once; undefined if it may go on. */
  const queryOnce = async (
    previous: Claim | undefined,
    claim: Claim,
  ): Promise<Pick<Predecessor, 'told'> | undefined> => {
    const member = previous === undefined ? undefined : table.findKnownMember(previous.holder);
    // A holder that has left, or whose process has a later incarnation, gives no orders; any answer
    // from its address shows that it has stopped as well.
    if (member === undefined) return { told: previous?.told };
    const view =
      member.id === self.id
        ? { handOvers: listHandOvers([claim]) }
        : await sendClaim(member, claim);
    if (view === undefined) return undefined;
    const handOver = view.handOvers?.find(({ duty }) => duty === claim.duty);
    // What is left of a wait may have become less on the way, but not more.
    return { told: handOver && { handOver, atMs: performance.now() } };
  };
  return {
    send,
    answer: ({ member, storeAgeMs, held: namedClaims }) => {
      // A holder that cannot reach the store counts as last reported when the store last answered
      // it. While the store is slow or unavailable for this instance too, that says nothing about
      // the holder.
      const lastReportMs = Math.max(performance.now() - storeAgeMs, options.getReportsSinceMs());
      table.observeMember(member, lastReportMs);
      namedClaims.forEach(({ duty, token }) => {
        const ownClaim = held.value.get(duty);
        if (ownClaim !== undefined && ownClaim.token < token) dropDuty(duty, 'holder-told');
        // The answer says that this instance has stopped, also if it learns late of an own claim.
        options.observeNewer({ duty, holder: member.id, token });
      });
      return {
        newer: namedClaims.flatMap(findNewer),
        claiming: namedClaims.map(({ duty }) => duty).filter((duty) => pendingClaims.has(duty)),
        handOvers: listHandOvers(namedClaims),
      };
    },
    queryPredecessor: async (claim) => {
      const startedMs = performance.now();
      const previous = findPrevious(claim.duty);
      let reply: Pick<Predecessor, 'told'> | undefined;
      while (!reply && !isStopped() && performance.now() - startedMs < SUCCESSION_MS) {
        reply = await queryOnce(previous, claim);
        if (!reply) await waitMs(RETRY_MS);
      }
      log.info({
        event: 'predecessor-asked',
        duty: claim.duty,
        token: claim.token,
        predecessor: previous?.holder,
        hasStopped: reply !== undefined,
        toldOfToken: reply?.told?.handOver.token,
        waitedMs: Math.round(performance.now() - startedMs),
      });
      return {
        hasStopped: reply !== undefined,
        token: previous?.holder === '' ? previous.releasedToken : previous?.token,
        told: reply?.told,
        knownMs: performance.now(),
      };
    },
  };
}
