/**
 * Claims duties and finds their holders. Every instance appends heartbeats to one partition,
 * claims unclaimed duties by conditional appends to another, and reads both.
 */
import { Subject, takeUntil } from 'rxjs';
import {
  chooseClaimants,
  createClaimTable,
  encodeClaim,
  encodeHeartbeat,
  HEARTBEAT_MS,
  type Claim,
  type Member,
} from 'vanilladock/lib/duties/claim-table.js';
import type { StoredKeyedRecord } from 'vanilladock/lib/ports/keyed-store.js';
import { readMoment, waitMs } from './clock.js';
import { runEndlessLoop } from './endless-loop.js';
import { createDutyAuthority } from './duty-authority.js';
import type { ClaimOptions, DutyClaims } from './duty-claims-types.js';
import { createDutyNotices } from './duty-notices.js';
import { CLAIMS, HEARTBEATS } from './duty-partitions.js';
import { reportLeaving, releaseDuties } from './duty-release.js';
import { createHeldDuties } from './held-duties.js';
import { createUnclaimedDuties } from './unclaimed-duties.js';
import { watchTopic } from './topic-follower.js';

/** A claim that was sent, with the claim that it follows. */
interface SentClaim {
  /** Offset that the claim takes if it is stored. */
  readonly at: number;
  readonly previous: Claim | undefined;
}

/** Interval between claim rounds, and between reads of heartbeats. */
const TICK_MS = 250;

/** How long a read waits for new records. */
const POLL_MS = 1_000;

/** A holder polls for newer claims this often, to keep its authority on a responsive store. */
const HOLDER_POLL_MS = 500;

/** Pause after a claim; unless the store is slow, the record of the claim has been read by then. */
const CLAIM_RETRY_MS = 30;

/** Time that members get to appear before this instance makes its first claim. */
const SETTLE_MS = 450;

/** Heartbeats are read more often than this unless the store is slow or unavailable. */
const CONTACT_GAP_MS = 600;

/** After this long without a read of heartbeats, nothing is known about which members are alive. */
const READ_GAP_MS = 1_200;

/** After such a gap, members get this long to report again before any claim. */
const SETTLE_AFTER_GAP_MS = 900;

/** A duty unclaimed for this long is open to all; fewer cores and held duties prolong the wait. */
const OPEN_TO_ALL_AFTER_MS = 900;

/** Creates the duty claims of one instance. */
export function createDutyClaims(options: ClaimOptions): DutyClaims {
  const { store, self, listDuties, handleContact, log, getStoreContactMs } = options;
  const table = createClaimTable();
  const unclaimedDuties = createUnclaimedDuties({ listDuties, table });
  const sentClaims = new Map<string, SentClaim>();
  /** Duties on which a claim was sent whose outcome is not known. */
  const pendingClaims = new Set<string>();
  let nextOffset: number | undefined;
  /** Whether this instance is to stop; it may still hold duties. */
  let isLeaving = false;
  let isStopped = false;
  let startedMs = 0;
  let claimsAllowedFromMs = 0;
  /** Monotonic time of the last read of heartbeats. */
  let lastReadMs = 0;
  let reportsSinceMs = 0;

  const heldDuties = createHeldDuties({ selfId: self.id, listDuties, table, unclaimedDuties, log });
  const { held, dropDuty, takeDuty, takeOwnClaims, checkHeld } = heldDuties;
  /**
   * Claims a duty. Resolves to whether the next round should follow at once: the claim was stored,
   * or the partition's end had moved and the newer records have been read since.
   */
  const claimDuty = async (duty: string): Promise<boolean> => {
    if (nextOffset === undefined) return false;
    const previous = table.findClaim(duty);
    const endOffset = nextOffset;
    const sent = readMoment();
    sentClaims.set(duty, { at: endOffset, previous });
    pendingClaims.add(duty);
    const outcome = await store.append(CLAIMS, [encodeClaim(duty, self)], {
      kind: 'end',
      offset: endOffset,
    });
    log.info({
      event: 'duty-claim',
      duty,
      at: endOffset,
      outcome: outcome.kind,
      unclaimedMs: Math.round(unclaimedDuties.getAgeMs(duty, sent.nowMs)),
      previousHolder: previous?.holder,
      previousToken: previous?.token,
    });
    if (outcome.kind !== 'unknown' && outcome.kind !== 'stored') pendingClaims.delete(duty);
    if (outcome.kind === 'end-moved') {
      await waitMs(CLAIM_RETRY_MS);
      return nextOffset !== endOffset;
    }
    if (outcome.kind !== 'stored' || isStopped) return false;
    const claim = { duty, holder: self.id, token: outcome.offset };
    authority.observeClaim(claim, sent);
    takeDuty(claim);
    pendingClaims.delete(duty);
    return true;
  };
  const countDutiesByHolder = (nowMs: number) => {
    const counts = new Map<string, number>();
    listDuties().forEach((duty) => {
      const holder = table.findLiveClaim(duty, nowMs)?.holder;
      if (holder !== undefined) counts.set(holder, (counts.get(holder) ?? 0) + 1);
    });
    return counts;
  };
  /** Says whether this instance may claim a duty that no staying instance holds. */
  const isOpen = (duty: string, nowMs: number) => {
    if (held.value.has(duty)) return false;
    if (!isLeaving) return true;
    return options.isHandedOver(duty) && table.findLiveClaim(duty, nowMs) === undefined;
  };
  const claimNext = async (): Promise<boolean> => {
    const nowMs = performance.now();
    const unclaimed = unclaimedDuties.list(nowMs).filter((duty) => isOpen(duty, nowMs));
    const isSettled = nowMs - startedMs >= SETTLE_MS && nowMs >= claimsAllowedFromMs;
    if (!isSettled || nowMs - lastReadMs > READ_GAP_MS || unclaimed.length === 0) return false;
    const staying = table.listClaimants(nowMs);
    if (isLeaving && staying.length > 0) return false;
    const members = isLeaving ? table.listMembers(nowMs) : staying;
    const cores = table.listKnownMembers(nowMs).map((member) => member.cores);
    const openToAllAfterMs = (OPEN_TO_ALL_AFTER_MS * Math.max(self.cores, ...cores)) / self.cores;
    const chosen = chooseClaimants(unclaimed, countDutiesByHolder(nowMs), members);
    const dutyToClaim = unclaimed.find((duty) => {
      const ageMs = unclaimedDuties.getAgeMs(duty, nowMs);
      const isOpenToAll = ageMs > openToAllAfterMs * (1 + held.value.size);
      return chosen.get(duty) === self.id || isOpenToAll;
    });
    return dutyToClaim !== undefined && claimDuty(dutyToClaim);
  };
  const runClaimRound = async () => {
    checkHeld();
    await waitMs((await claimNext()) ? CLAIM_RETRY_MS : TICK_MS);
  };
  const runHeartbeat = async () => {
    const sentMs = performance.now();
    const records = [encodeHeartbeat(self, isLeaving)];
    const outcome = await store.append(HEARTBEATS, records, { kind: 'none' });
    if (outcome.kind === 'stored') {
      handleContact();
      authority.observeHeartbeat(sentMs);
    }
    await waitMs(Math.max(0, HEARTBEAT_MS - (performance.now() - sentMs)));
  };
  const followOptions = { store, handleContact, log, pollMs: POLL_MS };
  /** Applies records of claims and heartbeats; one that is neither has no effect. */
  const applyRecords = (records: readonly StoredKeyedRecord[]) => {
    const unusable = records.filter((record) => !table.apply(record, performance.now()));
    if (unusable.length === 0) return;
    log.error({ event: 'duty-records-unusable', records: unusable.length, key: unusable[0]?.key });
  };
  const newClaims = watchTopic({
    ...followOptions,
    where: CLAIMS,
    pauseMs: 0,
    getPollMs: () => (held.value.size > 0 ? HOLDER_POLL_MS : POLL_MS),
    handleRead: (sent) => authority.observeRead(sent),
  });
  const heartbeats = watchTopic({ ...followOptions, where: HEARTBEATS, pauseMs: TICK_MS });
  const released = new Subject<void>();
  const listMembers = () => table.listMembers(Math.min(performance.now(), lastReadMs));
  const listOthers = (members: readonly Member[]) => members.filter(({ id }) => id !== self.id);
  const notices = createDutyNotices({
    self,
    table,
    held,
    pendingClaims,
    findPrevious: (duty) => sentClaims.get(duty)?.previous,
    sendNotice: options.sendNotice,
    getStoreContactMs,
    getReportsSinceMs: () =>
      performance.now() - lastReadMs > CONTACT_GAP_MS ? performance.now() : reportsSinceMs,
    dropDuty,
    observeNewer: unclaimedDuties.observeNewer,
    findHandOver: options.findHandOver,
    isStopped: () => isStopped,
    log,
  });
  const authority = createDutyAuthority({
    listHeld: () => [...held.value.values()],
    listPeers: () => ({
      alive: listOthers(listMembers()),
      known: listOthers(table.listKnownMembers(Math.min(performance.now(), lastReadMs))),
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
    queryPredecessor: notices.queryPredecessor,
    findHolder: (duty) => {
      const nowMs = Math.min(performance.now(), lastReadMs);
      const claim = held.value.get(duty) ?? table.findLiveClaim(duty, nowMs);
      if (claim === undefined) return undefined;
      const member = claim.holder === self.id ? self : table.findMember(claim.holder, nowMs);
      return member === undefined ? undefined : { claim, member };
    },
    listMembers,
    start: () => {
      startedMs = performance.now();
      lastReadMs = startedMs;
      heartbeats.pipe(takeUntil(released)).subscribe(({ records }) => {
        const nowMs = performance.now();
        if (nowMs - lastReadMs > CONTACT_GAP_MS) reportsSinceMs = nowMs;
        if (nowMs - lastReadMs > READ_GAP_MS) {
          claimsAllowedFromMs = nowMs + SETTLE_AFTER_GAP_MS;
          unclaimedDuties.reset();
        }
        lastReadMs = nowMs;
        applyRecords(records);
      });
      newClaims.pipe(takeUntil(released)).subscribe(({ records, next }) => {
        applyRecords(records);
        nextOffset = next;
        sentClaims.forEach(({ at: claimOffset }, duty) => {
          if (next > claimOffset) pendingClaims.delete(duty);
        });
        checkHeld();
        takeOwnClaims();
      });
      const loop = { log, isStopped: () => isStopped };
      void runEndlessLoop({ ...loop, where: 'claims', runRound: runClaimRound });
      void runEndlessLoop({ ...loop, where: 'heartbeats', runRound: runHeartbeat });
      authority.start();
    },
    dropDuty,
    stop: async (mayHold) => {
      isLeaving = true;
      const release = {
        store,
        self,
        getClaimsEnd: () => nextOffset,
        findHandOver: options.findHandOver,
        isNewest: ({ duty, token }: Claim) => table.findClaim(duty)?.token === token,
        log,
      };
      const dropped = heldDuties.leave((duty) => !options.isHandedOver(duty));
      if (mayHold()) await reportLeaving({ ...release, claims: dropped });
      while (mayHold()) await waitMs(CLAIM_RETRY_MS);
      isStopped = true;
      authority.stop();
      await releaseDuties({ ...release, claims: [...dropped, ...heldDuties.leave(() => true)] });
      released.next();
    },
  };
}
