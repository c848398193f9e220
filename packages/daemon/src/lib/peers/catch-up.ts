/**
 * Synchronizes an entry with its peers, so that a configuration that one of them has read from the
 * log reaches all of them even while the log is down. An entry notifies its peers of each new
 * configuration; a peer that is behind fetches the missing records from the sender. A new entry
 * serves no requests until its configuration is at least as new as those of all peers that it can
 * reach.
 */
import { distinctUntilChanged, firstValueFrom, map, merge, skip, timer } from 'rxjs';
import { decodeFleetState, findFirstDifference, type Random } from 'vanilladock';
import type { JsonLog } from '../json-log.js';
import type { LogFollower } from '../log-follower.js';
import { waitMs } from '../servers.js';
import type { CatchUpClient } from './catch-up-client.js';
import type { PeerNotice, PeerStatus } from './catch-up-server.js';

/** What catching up needs from the entry. */
export interface CatchUpOptions {
  readonly follower: Pick<
    LogFollower,
    'store' | 'hasReachedEnd$' | 'hasReachedEnd' | 'getReadableSince'
  >;
  readonly client: CatchUpClient;
  /** Lists the peer addresses of the entries; this entry's own address in it is ignored. */
  readonly listPeers: () => readonly string[];
  /** Gets this entry's own peer address, once it is bound. */
  readonly getAddress: () => string;
  readonly random: Random;
  readonly log: JsonLog;
}

/** A running synchronization with peers. */
export interface CatchUp {
  /** Says whether the entry may serve requests; once true, it stays true. */
  readonly isCaughtUp: () => boolean;
  /**
   * Handles a notice that a peer has folded the log up to `next`; fetches in the background if this
   * entry is behind.
   */
  readonly handleNotice: (notice: PeerNotice) => void;
  /** Ends polls and notices; calls in progress end by themselves. */
  readonly stop: () => void;
}

const READINESS_RETRY_MS = 200;
/** Time in which a reachable log may deliver the records before they are fetched from a peer. */
const LOG_READ_GRACE_MS = 300;
const POLL_MS = 10_000;
const OUTAGE_POLL_MS = 1_000;
/** Maximum number of fetches in a row for one notice. */
const MAX_FETCHES = 200;
const MAX_NOTICE_ATTEMPTS = 3;
const NOTICE_RETRY_MS = 1_000;

/** Starts synchronizing with peers; the entry counts as behind until a first check succeeds. */
export function startCatchUp(options: CatchUpOptions): CatchUp {
  const { follower, client, log, random } = options;
  const { store } = follower;
  const reportedDifferences = new Set<string>();
  let isCaughtUp = false;
  let isStopped = false;
  let isFetching = false;
  let newestNotice: PeerNotice = { address: '', next: 0 };
  let pollTimer: NodeJS.Timeout | undefined;

  const getNextOffset = () => store.getState().next;
  const listOtherPeers = () => options.listPeers().filter((peer) => peer !== options.getAddress());
  const fetchOnce = async (address: string) => {
    const history = await client.fetchHistory(address, getNextOffset());
    if (history.isErr()) return false;
    const initialOffset = getNextOffset();
    if (history.value.kind === 'records') store.applyRecords(history.value.records);
    else {
      const state = decodeFleetState(history.value.text);
      if (state !== undefined) store.applyState(state);
      else log.warn({ event: 'peer-state-unreadable', peer: address });
    }
    return getNextOffset() > initialOffset;
  };
  const fetchUpTo = async (notice: PeerNotice) => {
    if (notice.next > newestNotice.next) newestNotice = notice;
    if (isFetching) return;
    isFetching = true;
    for (
      let count = 0;
      count < MAX_FETCHES && getNextOffset() < newestNotice.next && !isStopped;
      count += 1
    ) {
      if (!(await fetchOnce(newestNotice.address))) break;
    }
    newestNotice = { address: '', next: 0 };
    isFetching = false;
  };
  const fetchIfBehind = async ({ address, next }: PeerNotice) => {
    if (getNextOffset() >= next) return;
    if (follower.getReadableSince() !== undefined) await waitMs(LOG_READ_GRACE_MS);
    await fetchUpTo({ address, next });
  };
  const compareDigests = async (address: string, { next, digest }: PeerStatus) => {
    const ownDigests = store.listDigests();
    const ownDigest = ownDigests.find(({ offset }) => offset === next - 1);
    if (ownDigest === undefined || ownDigest.digest === digest) return;
    const digests = await client.fetchDigests(address);
    if (digests.isErr()) return;
    const firstOffset = findFirstDifference(ownDigests, digests.value);
    const difference = `${address}/${firstOffset}`;
    if (firstOffset === undefined || reportedDifferences.has(difference)) return;
    reportedDifferences.add(difference);
    log.error({ event: 'digest-differs', peer: address, firstOffset });
  };
  const fetchStatuses = async () => {
    const results = await Promise.all(
      listOtherPeers().map(async (address) => ({
        address,
        status: await client.fetchStatus(address),
      })),
    );
    return results.flatMap(({ address, status }) =>
      status.isOk() ? [{ address, status: status.value }] : [],
    );
  };
  const checkReadiness = async () => {
    const peers = await fetchStatuses();
    const [ahead] = [...peers].sort((a, b) => b.status.next - a.status.next);
    if (ahead !== undefined) await fetchUpTo({ address: ahead.address, next: ahead.status.next });
    const servingPeers = peers.filter(({ status }) => status.isCaughtUp);
    const requiredVersion = Math.max(-1, ...peers.map(({ status }) => status.version));
    const { config, next } = store.getState();
    const hasReachedPeers =
      servingPeers.length > 0 && servingPeers.every(({ status }) => next >= status.next);
    isCaughtUp = (follower.hasReachedEnd() || hasReachedPeers) && config.version >= requiredVersion;
    if (isCaughtUp) log.info({ event: 'caught-up', next, version: config.version });
  };
  const waitForChange = () =>
    firstValueFrom(
      merge(
        timer(READINESS_RETRY_MS * (0.5 + random())),
        store.state$.pipe(skip(1)),
        follower.hasReachedEnd$.pipe(skip(1)),
      ),
    );
  const waitUntilCaughtUp = async () => {
    while (!isStopped && !isCaughtUp) {
      await checkReadiness();
      if (!isCaughtUp) await waitForChange();
    }
  };
  const pollPeer = async () => {
    const otherPeers = listOtherPeers();
    const address = otherPeers[Math.floor(random() * otherPeers.length)];
    if (address === undefined) return;
    const status = await client.fetchStatus(address);
    if (status.isErr() || isStopped) return;
    await compareDigests(address, status.value);
    await fetchIfBehind({ address, next: status.value.next });
  };
  const schedulePoll = () => {
    const isReadable = follower.getReadableSince() !== undefined;
    const delayMs = (isReadable ? POLL_MS : OUTAGE_POLL_MS) * (0.5 + random());
    pollTimer = setTimeout(
      () => {
        void pollPeer().then(() => {
          if (!isStopped) schedulePoll();
        });
      },
      Math.min(delayMs, POLL_MS),
    );
  };
  const sendNotice = async (address: string, notice: PeerNotice) => {
    for (let attempt = 0; attempt < MAX_NOTICE_ATTEMPTS && !isStopped; attempt += 1) {
      const result = await client.sendNotice(address, notice);
      if (result.isOk()) return;
      await waitMs(NOTICE_RETRY_MS * (0.5 + random()));
    }
  };
  const sendNotices = () => {
    const notice = { address: options.getAddress(), next: getNextOffset() };
    listOtherPeers().forEach((address) => void sendNotice(address, notice));
  };
  const subscription = store.state$
    .pipe(
      map(({ config }) => config.version),
      distinctUntilChanged(),
      skip(1),
    )
    .subscribe(sendNotices);

  void waitUntilCaughtUp();
  schedulePoll();
  return {
    isCaughtUp: () => isCaughtUp,
    handleNotice: (notice) => void fetchIfBehind(notice),
    stop: () => {
      isStopped = true;
      clearTimeout(pollTimer);
      subscription.unsubscribe();
    },
  };
}
