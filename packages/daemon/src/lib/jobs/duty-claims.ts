/**
 * Claims duties and tells who holds them. Every instance sends heartbeats into one partition; a vacant
 * duty is claimed by a conditional append to another. Every instance reads both.
 */
import { BehaviorSubject } from 'rxjs';
import {
  chooseClaimants,
  createClaimTable,
  encodeClaim,
  encodeDeparture,
  encodeHeartbeat,
  HEARTBEAT_MS,
  type Claim,
  type Member,
} from 'vanilladock/lib/duties/claim-table.js';
import type { DutyView, PeerOutcome } from 'vanilladock/lib/duties/authority.js';
import type { KeyedStore } from 'vanilladock/lib/ports/keyed-store.js';
import type { JsonLog } from '../json-log.js';
import { readMoment, waitMs } from './clock.js';
import { createDutyAuthority } from './duty-authority.js';
import { createDutyNotices } from './duty-notices.js';
import type { SentNotice } from './peers.js';
import { createVacancies } from './vacancies.js';
import { watchTopic } from './topic-follower.js';

/** Partition of claims: it grows only with them, so that a conditional append seldom fails. */
const CLAIMS = { topic: 'keyed.claims', partition: 0 } as const;

/** Partition of heartbeats. */
const MEMBERS = { topic: 'keyed.claims', partition: 1 } as const;

/** Claims of one instance. */
export interface DutyClaims {
  /** Duties that this instance holds. */
  readonly held: BehaviorSubject<ReadonlyMap<string, Claim>>;
  /** Finds a duty's holder, as last read while the store is away. */
  readonly findHolder: (
    duty: string,
  ) => { readonly claim: Claim; readonly member: Member } | undefined;
  readonly listMembers: () => readonly Member[];
  /** Says whether orders may be given under a claim now. */
  readonly isInForce: (claim: Claim) => boolean;
  /** Takes in a holder's notice and says what is known of its duties. */
  readonly answerNotice: (notice: SentNotice) => DutyView;
  /** Resolves to whether the holder before a claim of this instance has surely stopped. */
  readonly askPredecessor: (claim: Claim) => Promise<boolean>;
  readonly start: () => void;
  /** Gives up a duty after another holder's token was seen. */
  readonly dropDuty: (duty: string, why: string) => void;
  /** Releases every duty and stops claiming. */
  readonly stop: () => Promise<void>;
}

/** Settings of the claims. */
export interface ClaimOptions {
  readonly store: KeyedStore;
  readonly self: Member;
  readonly listDuties: () => readonly string[];
  readonly handleContact: () => void;
  /** Steady time of the store's last answer. */
  readonly getStoreContactMs: () => number;
  readonly sendNotice: (peer: Member, notice: SentNotice) => Promise<PeerOutcome>;
  readonly log: JsonLog;
}

/** A claim that was sent, with the claim that it follows. */
interface SentClaim {
  readonly at: number;
  readonly previous: Claim | undefined;
}

const TICK_MS = 250;
const POLL_MS = 1_000;

/** A holder looks this often for newer claims, so that its authority never lapses on a calm store. */
const HOLDER_POLL_MS = 500;

/** Pause after a claim, by which the record of it has been read unless the store is slow. */
const CLAIM_RETRY_MS = 30;

/** Members are given this long to appear before the first claim. */
const SETTLE_MS = 450;

/** Heartbeats are read more often than this from a store that is neither slow nor away. */
const CONTACT_GAP_MS = 600;

/** Heartbeats that were not read for this long say nothing about who lives. */
const GAP_MS = 1_200;

/** After such a gap, members are given this long to be heard again before any claim. */
const SETTLE_AFTER_GAP_MS = 900;

/** A vacant duty is claimed by anyone after this time, by those with fewer cores later. */
const ANYONE_AFTER_MS = 900;

/** Creates the claims of one instance. */
export function createDutyClaims(options: ClaimOptions): DutyClaims {
  const { store, self, listDuties, handleContact, log, getStoreContactMs } = options;
  const table = createClaimTable();
  const held = new BehaviorSubject<ReadonlyMap<string, Claim>>(new Map());
  const vacancies = createVacancies({ listDuties, table });
  const sentClaims = new Map<string, SentClaim>();
  /** Claims sent whose outcome is not known. */
  const openClaims = new Set<string>();
  let nextOffset: number | undefined;
  let isStopped = false;
  let startedMs = 0;
  let settledFromMs = 0;
  let contactMs = 0;
  let heardSinceMs = 0;

  const setHeld = (duty: string, claim: Claim | undefined) => {
    const next = new Map(held.value);
    if (claim === undefined) next.delete(duty);
    else next.set(duty, claim);
    held.next(next);
  };
  const dropDuty = (duty: string, why: string) => {
    const claim = held.value.get(duty);
    if (claim === undefined) return;
    log.warn({ event: 'duty-lost', duty, why, token: claim.token });
    vacancies.observeDrop(claim);
    setHeld(duty, undefined);
  };
  /** Takes a duty up, unless this claim on it is held or was given up already. */
  const takeDuty = (claim: Claim) => {
    const isKnown = claim.token <= (held.value.get(claim.duty)?.token ?? -1);
    if (isStopped || isKnown || vacancies.wasDropped(claim)) return;
    log.info({ event: 'duty-held', ...claim });
    setHeld(claim.duty, claim);
  };
  /** Takes up claims of this instance whose answers were lost. */
  const takeOwnClaims = () => {
    listDuties().forEach((duty) => {
      const newest = table.findClaim(duty);
      if (newest?.holder === self.id) takeDuty(newest);
    });
  };
  const checkHeld = () => {
    held.value.forEach((claim, duty) => {
      const newest = table.findClaim(duty);
      if (newest !== undefined && newest.token > claim.token) dropDuty(duty, 'superseded');
    });
  };
  /** Says whether another claim came first, so that it is worth looking again at once. */
  const claimDuty = async (duty: string): Promise<boolean> => {
    if (nextOffset === undefined) return false;
    const previous = table.findClaim(duty);
    const at = nextOffset;
    const sent = readMoment();
    sentClaims.set(duty, { at, previous });
    openClaims.add(duty);
    const outcome = await store.append(CLAIMS, [encodeClaim(duty, self)], {
      kind: 'end',
      offset: at,
    });
    log.info({
      event: 'duty-claim',
      duty,
      at,
      outcome: outcome.kind,
      previousHolder: previous?.holder,
      previousToken: previous?.token,
    });
    if (outcome.kind !== 'unknown' && outcome.kind !== 'stored') openClaims.delete(duty);
    if (outcome.kind === 'end-moved') {
      await waitMs(CLAIM_RETRY_MS);
      return nextOffset !== at;
    }
    if (outcome.kind !== 'stored' || isStopped) return false;
    const claim = { duty, holder: self.id, token: outcome.offset };
    authority.observeClaim(claim, sent);
    takeDuty(claim);
    openClaims.delete(duty);
    return true;
  };
  const countHeld = (nowMs: number) => {
    const counts = new Map<string, number>();
    listDuties().forEach((duty) => {
      const holder = table.findLiveClaim(duty, nowMs)?.holder;
      if (holder !== undefined) counts.set(holder, (counts.get(holder) ?? 0) + 1);
    });
    return counts;
  };
  const claimVacant = async (): Promise<boolean> => {
    const nowMs = performance.now();
    const vacant = vacancies.list(nowMs).filter((duty) => !held.value.has(duty));
    const isSettled = nowMs - startedMs >= SETTLE_MS && nowMs >= settledFromMs;
    if (!isSettled || nowMs - contactMs > GAP_MS || vacant.length === 0) return false;
    const members = table.listMembers(nowMs);
    const cores = table.listKnownMembers(nowMs).map((member) => member.cores);
    const openAfterMs = (ANYONE_AFTER_MS * Math.max(self.cores, ...cores)) / self.cores;
    const chosen = chooseClaimants(vacant, countHeld(nowMs), members);
    const mine = vacant.find((duty) => {
      const ageMs = vacancies.getAgeMs(duty, nowMs);
      const isOpenToAll = ageMs > openAfterMs * (1 + held.value.size);
      return chosen.get(duty) === self.id || isOpenToAll;
    });
    return mine !== undefined && claimDuty(mine);
  };
  const runClaims = async () => {
    while (!isStopped) {
      checkHeld();
      const isMoving = await claimVacant();
      await waitMs(isMoving ? CLAIM_RETRY_MS : TICK_MS);
    }
  };
  const runHeartbeats = async () => {
    while (!isStopped) {
      const sentMs = performance.now();
      const outcome = await store.append(MEMBERS, [encodeHeartbeat(self)], { kind: 'none' });
      if (outcome.kind === 'stored') {
        handleContact();
        authority.observeHeartbeat(sentMs);
      }
      await waitMs(Math.max(0, HEARTBEAT_MS - (performance.now() - sentMs)));
    }
  };
  const follow = { store, handleContact, log, pollMs: POLL_MS };
  const newClaims = watchTopic({
    ...follow,
    where: CLAIMS,
    pauseMs: 0,
    getPollMs: () => (held.value.size > 0 ? HOLDER_POLL_MS : POLL_MS),
    handleRead: (sent) => authority.observeRead(sent),
  });
  const heartbeats = watchTopic({ ...follow, where: MEMBERS, pauseMs: TICK_MS });
  const listMembers = () => table.listMembers(Math.min(performance.now(), contactMs));
  const listOthers = (members: readonly Member[]) => members.filter(({ id }) => id !== self.id);
  const notices = createDutyNotices({
    self,
    table,
    held,
    openClaims,
    findPrevious: (duty) => sentClaims.get(duty)?.previous,
    sendNotice: options.sendNotice,
    getStoreContactMs,
    getHeardSinceMs: () =>
      performance.now() - contactMs > CONTACT_GAP_MS ? performance.now() : heardSinceMs,
    dropDuty,
    isStopped: () => isStopped,
    log,
  });
  const authority = createDutyAuthority({
    listHeld: () => [...held.value.values()],
    listPeers: () => ({
      alive: listOthers(listMembers()),
      known: listOthers(table.listKnownMembers(Math.min(performance.now(), contactMs))),
    }),
    sendNotice: notices.send,
    getStoreContactMs,
    dropDuty,
    log,
  });
  return {
    held,
    isInForce: authority.isInForce,
    answerNotice: notices.answer,
    askPredecessor: notices.askPredecessor,
    findHolder: (duty) => {
      const nowMs = Math.min(performance.now(), contactMs);
      const claim = held.value.get(duty) ?? table.findLiveClaim(duty, nowMs);
      if (claim === undefined) return undefined;
      const member = claim.holder === self.id ? self : table.findMember(claim.holder, nowMs);
      return member === undefined ? undefined : { claim, member };
    },
    listMembers,
    start: () => {
      startedMs = performance.now();
      contactMs = startedMs;
      heartbeats.subscribe(({ records }) => {
        const nowMs = performance.now();
        if (nowMs - contactMs > CONTACT_GAP_MS) heardSinceMs = nowMs;
        if (nowMs - contactMs > GAP_MS) {
          settledFromMs = nowMs + SETTLE_AFTER_GAP_MS;
          vacancies.restart();
        }
        contactMs = nowMs;
        records.forEach((record) => table.apply(record, performance.now()));
      });
      newClaims.subscribe(({ records, next }) => {
        records.forEach((record) => table.apply(record, performance.now()));
        nextOffset = next;
        sentClaims.forEach(({ at }, duty) => {
          if (next > at) openClaims.delete(duty);
        });
        checkHeld();
        takeOwnClaims();
      });
      void runClaims();
      void runHeartbeats();
      authority.start();
    },
    dropDuty,
    stop: async () => {
      isStopped = true;
      authority.stop();
      const releases = [...held.value.keys()].map((duty) => encodeClaim(duty, undefined));
      held.next(new Map());
      const outcome = await store.append(CLAIMS, releases, { kind: 'none' });
      await store.append(MEMBERS, [encodeDeparture(self)], { kind: 'none' });
      log.info({ event: 'duties-released', count: releases.length, outcome: outcome.kind });
    },
  };
}
