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
import type { KeyedStore } from 'vanilladock/lib/ports/keyed-store.js';
import type { JsonLog } from '../json-log.js';
import { waitMs } from './clock.js';
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
  readonly log: JsonLog;
}

const TICK_MS = 250;
const POLL_MS = 1_000;

/** Pause after a claim, by which the record of it has been read unless the store is slow. */
const CLAIM_RETRY_MS = 30;

/** Members are given this long to appear before the first claim. */
const SETTLE_MS = 450;

/** Heartbeats that were not read for this long say nothing about who lives. */
const GAP_MS = 1_200;

/** After such a gap, members are given this long to be heard again before any claim. */
const SETTLE_AFTER_GAP_MS = 900;

/** A vacant duty is claimed by anyone after this time. */
const ANYONE_AFTER_MS = 900;

/** Creates the claims of one instance. */
export function createDutyClaims(options: ClaimOptions): DutyClaims {
  const { store, self, listDuties, handleContact, log } = options;
  const table = createClaimTable();
  const held = new BehaviorSubject<ReadonlyMap<string, Claim>>(new Map());
  const vacantSinceMs = new Map<string, number>();
  const droppedTokens = new Map<string, number>();
  let nextOffset: number | undefined;
  let isStopped = false;
  let startedMs = 0;
  let settledFromMs = 0;
  let contactMs = 0;

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
    droppedTokens.set(duty, claim.token);
    setHeld(duty, undefined);
  };
  /** Takes a duty up, unless this claim on it is held or was given up already. */
  const takeDuty = (claim: Claim) => {
    const known = Math.max(
      held.value.get(claim.duty)?.token ?? -1,
      droppedTokens.get(claim.duty) ?? -1,
    );
    if (isStopped || claim.token <= known) return;
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
    if (outcome.kind === 'end-moved') {
      await waitMs(CLAIM_RETRY_MS);
      return nextOffset !== at;
    }
    if (outcome.kind !== 'stored' || isStopped) return false;
    takeDuty({ duty, holder: self.id, token: outcome.offset });
    return true;
  };
  const listVacant = (nowMs: number) => {
    const vacant = listDuties().filter((duty) => table.findLiveClaim(duty, nowMs) === undefined);
    const seen = new Set(vacant);
    [...vacantSinceMs.keys()].forEach((duty) => {
      if (!seen.has(duty)) vacantSinceMs.delete(duty);
    });
    vacant.forEach((duty) => {
      if (!vacantSinceMs.has(duty)) vacantSinceMs.set(duty, nowMs);
    });
    return vacant.filter((duty) => !held.value.has(duty));
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
    const vacant = listVacant(nowMs);
    const isSettled = nowMs - startedMs >= SETTLE_MS && nowMs >= settledFromMs;
    if (!isSettled || nowMs - contactMs > GAP_MS || vacant.length === 0) return false;
    const members = table.listMembers(nowMs);
    const chosen = chooseClaimants(vacant, countHeld(nowMs), members);
    const mine = vacant.find((duty) => {
      const ageMs = nowMs - (vacantSinceMs.get(duty) ?? nowMs);
      const isOpenToAll = ageMs > ANYONE_AFTER_MS * (1 + held.value.size);
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
      if (outcome.kind === 'stored') handleContact();
      await waitMs(Math.max(0, HEARTBEAT_MS - (performance.now() - sentMs)));
    }
  };
  const follow = { store, handleContact, log, pollMs: POLL_MS };
  const newClaims = watchTopic({ ...follow, where: CLAIMS, pauseMs: 0 });
  const heartbeats = watchTopic({ ...follow, where: MEMBERS, pauseMs: TICK_MS });
  return {
    held,
    findHolder: (duty) => {
      const nowMs = Math.min(performance.now(), contactMs);
      const claim = held.value.get(duty) ?? table.findLiveClaim(duty, nowMs);
      if (claim === undefined) return undefined;
      const member = claim.holder === self.id ? self : table.findMember(claim.holder, nowMs);
      return member === undefined ? undefined : { claim, member };
    },
    listMembers: () => table.listMembers(Math.min(performance.now(), contactMs)),
    start: () => {
      startedMs = performance.now();
      contactMs = startedMs;
      heartbeats.subscribe(({ records }) => {
        const nowMs = performance.now();
        if (nowMs - contactMs > GAP_MS) settledFromMs = nowMs + SETTLE_AFTER_GAP_MS;
        contactMs = nowMs;
        records.forEach((record) => table.apply(record, performance.now()));
      });
      newClaims.subscribe(({ records, next }) => {
        records.forEach((record) => table.apply(record, performance.now()));
        nextOffset = next;
        checkHeld();
        takeOwnClaims();
      });
      void runClaims();
      void runHeartbeats();
    },
    dropDuty,
    stop: async () => {
      isStopped = true;
      const releases = [...held.value.keys()].map((duty) => encodeClaim(duty, undefined));
      held.next(new Map());
      const outcome = await store.append(CLAIMS, releases, { kind: 'none' });
      await store.append(MEMBERS, [encodeDeparture(self)], { kind: 'none' });
      log.info({ event: 'duties-released', count: releases.length, outcome: outcome.kind });
    },
  };
}
