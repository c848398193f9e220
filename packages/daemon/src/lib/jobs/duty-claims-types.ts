/** What the duty claims of an instance offer, and what they depend on. */
import type { BehaviorSubject } from 'rxjs';
import type { DutyHandOver, PeerDutyView, PeerOutcome } from 'vanilladock/lib/duties/authority.js';
import type { Claim, Member } from 'vanilladock/lib/duties/claim-table.js';
import type { KeyedStore } from 'vanilladock/lib/ports/keyed-store.js';
import type { JsonLog } from '../json-log.js';
import type { Predecessor } from './duty-notices.js';
import type { SentNotice } from './peer-messages.js';

/** Duty claims of one instance. */
export interface DutyClaims {
  /** Claims that this instance holds, by duty; they may be out of force, see `isInForce`. */
  readonly held: BehaviorSubject<ReadonlyMap<string, Claim>>;
  /** Finds a duty's holder, as of the last read; undefined if there is none or it is not known. */
  readonly findHolder: (
    duty: string,
  ) => { readonly claim: Claim; readonly member: Member } | undefined;
  /** Lists the members alive at the last read of heartbeats; may include this instance. */
  readonly listMembers: () => readonly Member[];
  /** Says whether orders may be given under a claim now; it may be false for a held claim. */
  readonly isInForce: (claim: Claim) => boolean;
  /** Processes a holder's notice and returns what is known about the duties that it names. */
  readonly answerNotice: (notice: SentNotice) => PeerDutyView;
  /** As `queryPredecessor` of the notices. */
  readonly queryPredecessor: (claim: Claim) => Promise<Predecessor>;
  readonly start: () => void;
  /** Gives up a duty, for instance after another holder's token was observed. */
  readonly dropDuty: (duty: string, why: string) => void;
  /**
   * Leaves: releases at once the duties that are not handed over, and all others when `mayHold` says
   * false. Until then it goes on with what nobody else claims, and claims only what has no holder and
   * no other instance to claim it. Resolves when the release has ended; nothing is read after that.
   */
  readonly stop: (mayHold: () => boolean) => Promise<void>;
}

/** Dependencies of the claims. */
export interface ClaimOptions {
  readonly store: KeyedStore;
  readonly self: Member;
  readonly listDuties: () => readonly string[];
  /** Says whether a duty is held, when this instance stops, until another one claims it. */
  readonly isHandedOver: (duty: string) => boolean;
  /** Called when the store has answered a read or stored a heartbeat. */
  readonly handleContact: () => void;
  /** Monotonic time of the store's last response, in milliseconds. */
  readonly getStoreContactMs: () => number;
  readonly sendNotice: (peer: Member, notice: SentNotice) => Promise<PeerOutcome>;
  /** Finds what this instance tells the next holder of a duty that it has given up. */
  readonly findHandOver: (duty: string) => DutyHandOver | undefined;
  readonly log: JsonLog;
}
