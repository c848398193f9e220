/**
 * Keeps an entry level with its peers, so that a configuration which one of them has read from the log
 * reaches all of them although the log is down. An entry tells its peers of each new configuration; one
 * that is behind fetches from the teller what it misses. A new entry serves nothing until it knows a
 * configuration at least as new as those of the peers that it can reach.
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
  /** Peer addresses of the other entries; the own one is passed over. */
  readonly listPeers: () => readonly string[];
  /** The own peer address, once it is bound. */
  readonly getAddress: () => string;
  readonly random: Random;
  readonly log: JsonLog;
}

/** Catching up with peers. */
export interface CatchUp {
  /** Says whether the entry may serve. */
  readonly isCaughtUp: () => boolean;
  /** Takes in that a peer has folded the log up to `next`; fetches when this entry stays behind. */
  readonly observePeer: (notice: PeerNotice) => void;
  readonly stop: () => void;
}

const GATE_RETRY_MS = 200;
const READ_GRACE_MS = 300;
const POLL_MS = 10_000;
const OUTAGE_POLL_MS = 1_000;
const MAX_FETCHES = 200;
const NOTICE_TRIES = 3;
const NOTICE_RETRY_MS = 1_000;

/** Starts catching up. */
export function startCatchUp(options: CatchUpOptions): CatchUp {
  const { follower, client, log, random } = options;
  const { store } = follower;
  const alarms = new Set<string>();
  let isCaughtUp = false;
  let isStopped = false;
  let isFetching = false;
  let newest: PeerNotice = { address: '', next: 0 };
  let pollTimer: NodeJS.Timeout | undefined;

  const getNext = () => store.getState().next;
  const listOthers = () => options.listPeers().filter((peer) => peer !== options.getAddress());
  const fetchOnce = async (address: string) => {
    const history = await client.fetchHistory(address, getNext());
    if (history.isErr()) return false;
    const before = getNext();
    if (history.value.kind === 'records') store.applyRecords(history.value.records);
    else {
      const state = decodeFleetState(history.value.text);
      if (state !== undefined) store.takeState(state);
      else log.warn({ event: 'peer-state-unreadable', peer: address });
    }
    return getNext() > before;
  };
  const fetchUpTo = async (notice: PeerNotice) => {
    if (notice.next > newest.next) newest = notice;
    if (isFetching) return;
    isFetching = true;
    for (let tries = 0; tries < MAX_FETCHES && getNext() < newest.next && !isStopped; tries += 1) {
      if (!(await fetchOnce(newest.address))) break;
    }
    newest = { address: '', next: 0 };
    isFetching = false;
  };
  const observePeer = async ({ address, next }: PeerNotice) => {
    if (getNext() >= next) return;
    if (follower.getReadableSince() !== undefined) await waitMs(READ_GRACE_MS);
    await fetchUpTo({ address, next });
  };
  const compareDigests = async (address: string, { next, digest }: PeerStatus) => {
    const own = store.listDigests();
    const known = own.find(({ offset }) => offset === next - 1);
    if (known === undefined || known.digest === digest) return;
    const digests = await client.fetchDigests(address);
    if (digests.isErr()) return;
    const firstOffset = findFirstDifference(own, digests.value);
    const alarm = `${address}/${firstOffset}`;
    if (firstOffset === undefined || alarms.has(alarm)) return;
    alarms.add(alarm);
    log.error({ event: 'digest-differs', peer: address, firstOffset });
  };
  const fetchStatuses = async () => {
    const answers = await Promise.all(
      listOthers().map(async (address) => ({ address, status: await client.fetchStatus(address) })),
    );
    return answers.flatMap(({ address, status }) =>
      status.isOk() ? [{ address, status: status.value }] : [],
    );
  };
  const checkGate = async () => {
    const peers = await fetchStatuses();
    const [best] = [...peers].sort((a, b) => b.status.next - a.status.next);
    if (best !== undefined) await fetchUpTo({ address: best.address, next: best.status.next });
    const served = peers.filter(({ status }) => status.isCaughtUp);
    const wanted = Math.max(-1, ...peers.map(({ status }) => status.version));
    const { config, next } = store.getState();
    const isLevel = served.length > 0 && served.every(({ status }) => next >= status.next);
    isCaughtUp = (follower.hasReachedEnd() || isLevel) && config.version >= wanted;
    if (isCaughtUp) log.info({ event: 'caught-up', next, version: config.version });
  };
  const waitForNews = () =>
    firstValueFrom(
      merge(
        timer(GATE_RETRY_MS * (0.5 + random())),
        store.state$.pipe(skip(1)),
        follower.hasReachedEnd$.pipe(skip(1)),
      ),
    );
  const runGate = async () => {
    while (!isStopped && !isCaughtUp) {
      await checkGate();
      if (!isCaughtUp) await waitForNews();
    }
  };
  const pollPeer = async () => {
    const others = listOthers();
    const address = others[Math.floor(random() * others.length)];
    if (address === undefined) return;
    const status = await client.fetchStatus(address);
    if (status.isErr() || isStopped) return;
    await compareDigests(address, status.value);
    await observePeer({ address, next: status.value.next });
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
    for (let tries = 0; tries < NOTICE_TRIES && !isStopped; tries += 1) {
      const sent = await client.sendNotice(address, notice);
      if (sent.isOk()) return;
      await waitMs(NOTICE_RETRY_MS * (0.5 + random()));
    }
  };
  const sendNotices = () => {
    const notice = { address: options.getAddress(), next: getNext() };
    listOthers().forEach((address) => void sendNotice(address, notice));
  };
  const subscription = store.state$
    .pipe(
      map(({ config }) => config.version),
      distinctUntilChanged(),
      skip(1),
    )
    .subscribe(sendNotices);

  void runGate();
  schedulePoll();
  return {
    isCaughtUp: () => isCaughtUp,
    observePeer: (notice) => void observePeer(notice),
    stop: () => {
      isStopped = true;
      clearTimeout(pollTimer);
      subscription.unsubscribe();
    },
  };
}
