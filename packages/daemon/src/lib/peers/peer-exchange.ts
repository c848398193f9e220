/**
 * Exchange among entries over UDP: heartbeats with demand by service, the applied log offset and
 * the leaving flag, and the demand of teams whose demand has changed. Each entry sends one datagram
 * to each peer per interval. Nothing is acknowledged; later datagrams make up for lost ones.
 */
import { randomInt } from 'node:crypto';
import { createSocket, type RemoteInfo, type Socket } from 'node:dgram';
import {
  checkHeartbeat,
  createMembership,
  createUsageReport,
  foldHeartbeat,
  listLivePeers,
  listSharers,
  type Demand,
  type Heartbeat,
  type Peer,
  type Random,
  type UsageReport,
} from 'vanilladock';
import type { JsonLog } from '../json-log.js';
import { computeTeamHash, createPeerCodec, type PeerDatagram } from './peer-exchange-codec.js';

/** What the exchange needs from the entry. */
export interface PeerExchangeOptions {
  readonly id: string;
  readonly key: string;
  /** Address to listen on, `ip:port`; port 0 lets the kernel choose. */
  readonly listen: string;
  readonly random: Random;
  readonly log: JsonLog;
  /** Lists the peer addresses of the entries, from settings and the instance list. */
  readonly listAddresses: () => readonly string[];
  /** Gets the demand on this entry, by service and by team. */
  readonly getDemand: () => Demand;
  /** Gets the offset of the last applied log record and a digest of the state after it. */
  readonly getApplied: () => { readonly offset: number; readonly digest: number };
  /** Called once per interval, because the demand of the peers may have changed. */
  readonly handleExchange: () => void;
}

/** Counters of the exchange, since its start; bytes include the IP and UDP headers. */
export interface PeerTraffic {
  readonly sentBytes: number;
  readonly receivedBytes: number;
  /** Datagrams that were malformed, not authentic or replayed. */
  readonly refused: number;
}

/** A running exchange. */
export interface PeerExchange {
  /** Bound address, `ip:port`. */
  readonly address: string;
  /** Lists the peers with a recent heartbeat, ordered by id. */
  readonly listLivePeers: () => readonly Peer[];
  /** Lists the peers that slots are shared with; may include peers that are not live. */
  readonly listSharers: () => readonly Peer[];
  /** Sums the demand of the live peers by team, in requests per second; 0 for an unknown team. */
  readonly sumTeamDemand: (teams: readonly string[]) => ReadonlyMap<string, number>;
  /** Sets the configured services; until then, datagrams carry no demand by service. */
  readonly setServices: (services: readonly string[]) => void;
  /** Notifies the peers, now and in each interval, that this entry accepts no new requests. */
  readonly leave: () => void;
  readonly getTraffic: () => PeerTraffic;
  /** Stops without a notification; resolves once the socket is closed. */
  readonly stop: () => Promise<void>;
}

const INTERVAL_MS = 1_000;
/**
 * Number of peers up to which `INTERVAL_MS` applies; with more, the interval grows to cap traffic.
 */
const INTERVAL_PEERS = 7;
/** Maximum number of teams whose changed demand one datagram carries. */
const MAX_TEAMS = 16;
const MIN_HELLO_INTERVAL_MS = 200;
const MAX_EPOCH = 2 ** 32;
/** A peer is considered lost after this many intervals without a heartbeat. */
const TIMEOUT_INTERVALS = 3.5;
/** IP and UDP headers of a datagram, which count as traffic. */
const HEADER_BYTES = 28;

interface Destination {
  /** Epoch of the peer at this address, once verified; 0 before. */
  epoch: number;
  report: UsageReport;
  lastHelloMs: number;
}

/** Binds a socket and resolves to its `ip:port`; rejects when the address cannot be bound. */
function openSocket(socket: Socket, listen: string): Promise<string> {
  const [host = '', port = '0'] = listen.split(':');
  return new Promise((resolve, reject) => {
    socket.once('error', reject);
    socket.bind(Number(port), host, () => {
      socket.off('error', reject);
      resolve(`${host}:${socket.address().port}`);
    });
  });
}

/** Starts the exchange. Rejects when the address cannot be bound. */
export async function startPeerExchange(options: PeerExchangeOptions): Promise<PeerExchange> {
  const { log, random } = options;
  const codec = createPeerCodec(options.key);
  const socket = createSocket('udp4');
  const destinations = new Map<string, Destination>();
  const teamDemandByPeer = new Map<string, Map<number, number>>();
  const epoch = randomInt(1, MAX_EPOCH);
  const traffic = { sentBytes: 0, receivedBytes: 0, refused: 0 };
  let membership = createMembership(options.id, epoch);
  let sequence = 0;
  let isLeaving = false;
  let timer: NodeJS.Timeout | undefined;

  const getDestination = (address: string) => {
    const existing = destinations.get(address);
    if (existing !== undefined) return existing;
    const created = { epoch: 0, report: createUsageReport(), lastHelloMs: -Infinity };
    destinations.set(address, created);
    return created;
  };
  const makeHeartbeat = (receiverEpoch: number, demand: Demand['services']): Heartbeat => {
    const { offset, digest } = options.getApplied();
    sequence += 1;
    const head = { id: options.id, epoch, receiverEpoch, sequence, isLeaving, demand };
    return { ...head, appliedOffset: offset, digest };
  };
  const sendDatagram = (address: string, datagram: Buffer) => {
    const [host, port] = address.split(':');
    traffic.sentBytes += datagram.length + HEADER_BYTES;
    socket.send(datagram, Number(port), host, () => {});
  };
  const sendTo = (address: string, { services, teams }: Demand) => {
    const { epoch: receiverEpoch, report } = getDestination(address);
    const changes =
      receiverEpoch === 0 ? [] : report.takeChanges(teams, MAX_TEAMS, performance.now());
    sendDatagram(address, codec.encode(makeHeartbeat(receiverEpoch, services), changes));
  };
  const listTargets = () =>
    [...new Set(options.listAddresses())].filter((address) => address !== ownAddress);
  const sendToAll = () => {
    const demand = options.getDemand();
    listTargets().forEach((address) => sendTo(address, demand));
  };
  /** Replies to a heartbeat that lacks this entry's current epoch, so that its sender learns it. */
  const sendHello = (address: string, senderEpoch: number) => {
    if (!listTargets().includes(address)) return;
    const destination = getDestination(address);
    const nowMs = performance.now();
    if (nowMs - destination.lastHelloMs < MIN_HELLO_INTERVAL_MS) return;
    destination.lastHelloMs = nowMs;
    const heartbeat = makeHeartbeat(senderEpoch, options.getDemand().services);
    sendDatagram(address, codec.encode(heartbeat, []));
  };
  const observeTeams = (id: string, isNewEpoch: boolean, teams: ReadonlyMap<number, number>) => {
    const current = isNewEpoch ? undefined : teamDemandByPeer.get(id);
    const merged = current ?? new Map<number, number>();
    teams.forEach((perSecond, hash) => merged.set(hash, perSecond));
    teamDemandByPeer.set(id, merged);
  };
  const applyDatagram = (address: string, { heartbeat, teams }: PeerDatagram) => {
    const { id } = heartbeat;
    const isNewEpoch = membership.peers.get(id)?.epoch !== heartbeat.epoch;
    membership = foldHeartbeat(membership, heartbeat, performance.now());
    const destination = getDestination(address);
    if (destination.epoch !== heartbeat.epoch) {
      destination.epoch = heartbeat.epoch;
      destination.report = createUsageReport();
    }
    observeTeams(id, isNewEpoch, teams);
    if (isNewEpoch) log.info({ event: 'peer-heard', peer: id, address });
  };
  const handleDatagram = (datagram: Buffer, from: RemoteInfo) => {
    traffic.receivedBytes += datagram.length + HEADER_BYTES;
    const decoded = codec.decode(datagram);
    const address = `${from.address}:${from.port}`;
    const outcome =
      decoded === undefined ? 'forged' : checkHeartbeat(membership, decoded.heartbeat);
    switch (outcome) {
      case 'accepted':
        if (decoded !== undefined) applyDatagram(address, decoded);
        return;
      case 'unproved':
        if (decoded !== undefined) sendHello(address, decoded.heartbeat.epoch);
        return;
      case 'forged':
      case 'replayed':
        traffic.refused += 1;
        return;
      case 'own':
        return;
      default:
        outcome satisfies never;
    }
  };
  const getIntervalMs = () => INTERVAL_MS * Math.max(1, listTargets().length / INTERVAL_PEERS);
  const getTimeoutMs = () => getIntervalMs() * TIMEOUT_INTERVALS;
  const listLive = () => listLivePeers(membership, performance.now(), getTimeoutMs());
  const runInterval = () => {
    sendToAll();
    options.handleExchange();
    timer = setTimeout(runInterval, getIntervalMs());
  };

  const ownAddress = await openSocket(socket, options.listen);
  socket.on('message', handleDatagram);
  socket.on('error', (error) => log.warn({ event: 'peer-socket', message: error.message }));
  timer = setTimeout(runInterval, random() * INTERVAL_MS);

  return {
    address: ownAddress,
    listLivePeers: listLive,
    listSharers: () => listSharers(membership, performance.now(), getTimeoutMs()),
    sumTeamDemand: (teams) => {
      const demands = listLive().map(({ id }) => teamDemandByPeer.get(id));
      return new Map(
        teams.map((team) => {
          const hash = computeTeamHash(team);
          return [team, demands.reduce((sum, demand) => sum + (demand?.get(hash) ?? 0), 0)];
        }),
      );
    },
    setServices: codec.setServices,
    leave: () => {
      isLeaving = true;
      sendToAll();
    },
    getTraffic: () => ({ ...traffic }),
    stop: () => {
      clearTimeout(timer);
      return new Promise<void>((resolve) => {
        socket.close(() => resolve());
      });
    },
  };
}
