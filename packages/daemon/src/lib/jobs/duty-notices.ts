/**
 * Notices among instances about who holds which duty: a holder tells its peers that it lives, a successor tells
 * the holder before it that it has claimed.
 */
import type { BehaviorSubject } from 'rxjs';
import {
  SUCCESSION_MS,
  type DutyNotice,
  type DutyView,
  type PeerOutcome,
} from 'vanilladock/lib/duties/authority.js';
import type { Claim, ClaimTable, Member } from 'vanilladock/lib/duties/claim-table.js';
import type { JsonLog } from '../json-log.js';
import { waitMs } from './clock.js';
import type { SentNotice } from './peers.js';

/** What notices are made from and change. */
export interface DutyNoticeOptions {
  readonly self: Member;
  readonly table: ClaimTable;
  readonly held: BehaviorSubject<ReadonlyMap<string, Claim>>;
  /** Duties on which this instance has sent a claim whose outcome it does not know. */
  readonly openClaims: ReadonlySet<string>;
  /** Finds the claim that this instance's own claim on a duty followed. */
  readonly findPrevious: (duty: string) => Claim | undefined;
  readonly sendNotice: (peer: Member, notice: SentNotice) => Promise<PeerOutcome>;
  /** Steady time of the store's last answer. */
  readonly getStoreContactMs: () => number;
  /** Steady time since when this instance has heard of members without a gap. */
  readonly getHeardSinceMs: () => number;
  readonly dropDuty: (duty: string, why: string) => void;
  readonly isStopped: () => boolean;
  readonly log: JsonLog;
}

/** Notices of one instance. */
export interface DutyNotices {
  readonly send: (peer: Member, notice: DutyNotice) => Promise<PeerOutcome>;
  /** Takes in a holder's notice and says what is known of its duties. */
  readonly answer: (notice: SentNotice) => DutyView;
  /** Resolves to whether the holder before a claim of this instance has surely stopped. */
  readonly askPredecessor: (claim: Claim) => Promise<boolean>;
}

/** Pause between notices to a predecessor that does not answer. */
const RETRY_MS = 250;

/** Creates the notices of an instance. */
export function createDutyNotices(options: DutyNoticeOptions): DutyNotices {
  const { self, table, held, openClaims, findPrevious, dropDuty, isStopped, log } = options;
  const send = async (peer: Member, notice: DutyNotice) => {
    const outcome = await options.sendNotice(peer, { ...notice, member: self });
    if (outcome.kind === 'answered') table.observeMember(peer, performance.now());
    return outcome;
  };
  const findNewer = ({ duty, token }: Claim): readonly Claim[] => {
    const newest = held.value.get(duty) ?? table.findClaim(duty);
    return newest !== undefined && newest.token > token ? [newest] : [];
  };
  const isAnswered = async (member: Member, claim: Claim): Promise<boolean> => {
    const storeAgeMs = Math.max(0, performance.now() - options.getStoreContactMs());
    return (await send(member, { storeAgeMs, held: [claim] })).kind === 'answered';
  };
  return {
    send,
    answer: ({ member, storeAgeMs, held: named }) => {
      // A holder that is cut off counts as heard when the store last answered it; while the store is slow
      // or away for this instance as well, that says nothing about the holder.
      const heardMs = Math.max(performance.now() - storeAgeMs, options.getHeardSinceMs());
      table.observeMember(member, heardMs);
      named.forEach(({ duty, token }) => {
        const own = held.value.get(duty);
        if (own !== undefined && own.token < token) dropDuty(duty, 'holder-told');
      });
      return {
        newer: named.flatMap(findNewer),
        claiming: named.map(({ duty }) => duty).filter((duty) => openClaims.has(duty)),
      };
    },
    askPredecessor: async (claim) => {
      const startedMs = performance.now();
      const previous = findPrevious(claim.duty);
      let hasStopped = false;
      while (!hasStopped && !isStopped() && performance.now() - startedMs < SUCCESSION_MS) {
        const member = previous === undefined ? undefined : table.findKnownMember(previous.holder);
        // One that has left or has a later life gives no orders; any answer from its address shows the same.
        hasStopped =
          member === undefined || member.id === self.id || (await isAnswered(member, claim));
        if (!hasStopped) await waitMs(RETRY_MS);
      }
      log.info({
        event: 'predecessor-asked',
        duty: claim.duty,
        token: claim.token,
        predecessor: previous?.holder,
        hasStopped,
        waitedMs: Math.round(performance.now() - startedMs),
      });
      return hasStopped;
    },
  };
}
