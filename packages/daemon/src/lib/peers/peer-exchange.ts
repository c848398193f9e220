/**
 * Exchange among entries over UDP: heartbeats with demand by service, the applied log offset and the
 * leaving flag, and the demand of those teams whose demand has moved. Each entry tells each peer once
 * in an interval; nothing is acknowledged, and what is lost is told again.
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
  /** Peer addresses of the other entries, from settings and the instance list. */
  readonly listAddresses: () => readonly string[];
  readonly getDemand: () => Demand;
  /** Offset of the last applied log record, and a digest of the state there. */
  readonly getApplied: () => { readonly offset: number; readonly digest: number };
  /** Called in each interval, as the demand of the peers may have changed. */
  readonly handleExchange: () => void;
}

/** Counters of the exchange. */
export interface PeerTraffic {
  readonly sentBytes: number;
  readonly receivedBytes: number;
  /** Datagrams that were not authentic, or replayed. */
  readonly refused: number;
}

/** A running exchange. */
export interface PeerExchange {
  /** Bound address, `ip:port`. */
  readonly address: string;
  readonly listLivePeers: () => readonly Peer[];
  /** Peers that slots are shared with. */
  readonly listSharers: () => readonly Peer[];
  /** Demand of the live peers by team, in requests a second. */
  readonly sumTeamDemand: (teams: readonly string[]) => ReadonlyMap<string, number>;
  readonly setServices: (services: readonly string[]) => void;
  /** Tells the peers at once that this entry takes no new requests. */
  readonly leave: () => void;
  readonly getTraffic: () => PeerTraffic;
  readonly stop: () => Promise<void>;
}

const INTERVAL_MS = 1_000;
/** Peers up to which the interval holds; with more it grows, so that the bytes a second do not. */
const INTERVAL_PEERS = 7;
const MAX_TEAMS = 16;
const HELLO_GAP_MS = 200;
const MAX_EPOCH = 2 ** 32;
/** A peer is lost when this many intervals pass without a heartbeat. */
const TIMEOUT_INTERVALS = 3.5;
/** Headers of IP and UDP, counted as traffic. */
const HEADER_BYTES = 28;

interface Destination {
  /** Epoch of the peer there, once proved; 0 before. */
  epoch: number;
  report: UsageReport;
  helloAtMs: number;
}

/** Binds a socket; rejects when the address cannot be had. */
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
  const teamDemand = new Map<string, Map<number, number>>();
  const epoch = randomInt(1, MAX_EPOCH);
  const traffic = { sentBytes: 0, receivedBytes: 0, refused: 0 };
  let membership = createMembership(options.id, epoch);
  let sequence = 0;
  let isLeaving = false;
  let timer: NodeJS.Timeout | undefined;

  const getDestination = (address: string) => {
    const found = destinations.get(address);
    if (found !== undefined) return found;
    const fresh = { epoch: 0, report: createUsageReport(), helloAtMs: -Infinity };
    destinations.set(address, fresh);
    return fresh;
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
    [...new Set(options.listAddresses())].filter((one) => one !== ownAddress);
  const sendToAll = () => {
    const demand = options.getDemand();
    listTargets().forEach((address) => sendTo(address, demand));
  };
  /** Answers a heartbeat that does not name this start, so that its sender learns of it. */
  const answerUnproved = (address: string, senderEpoch: number) => {
    if (!listTargets().includes(address)) return;
    const destination = getDestination(address);
    const nowMs = performance.now();
    if (nowMs - destination.helloAtMs < HELLO_GAP_MS) return;
    destination.helloAtMs = nowMs;
    const heartbeat = makeHeartbeat(senderEpoch, options.getDemand().services);
    sendDatagram(address, codec.encode(heartbeat, []));
  };
  const observeTeams = (id: string, isNewStart: boolean, teams: ReadonlyMap<number, number>) => {
    const known = isNewStart ? undefined : teamDemand.get(id);
    const merged = known ?? new Map<number, number>();
    teams.forEach((perSecond, hash) => merged.set(hash, perSecond));
    teamDemand.set(id, merged);
  };
  const applyDatagram = (address: string, { heartbeat, teams }: PeerDatagram) => {
    const { id } = heartbeat;
    const isNewStart = membership.peers.get(id)?.epoch !== heartbeat.epoch;
    membership = foldHeartbeat(membership, heartbeat, performance.now());
    const destination = getDestination(address);
    if (destination.epoch !== heartbeat.epoch) {
      destination.epoch = heartbeat.epoch;
      destination.report = createUsageReport();
    }
    observeTeams(id, isNewStart, teams);
    if (isNewStart) log.info({ event: 'peer-heard', peer: id, address });
  };
  const handleDatagram = (datagram: Buffer, from: RemoteInfo) => {
    traffic.receivedBytes += datagram.length + HEADER_BYTES;
    const decoded = codec.decode(datagram);
    const address = `${from.address}:${from.port}`;
    const fate = decoded === undefined ? 'forged' : checkHeartbeat(membership, decoded.heartbeat);
    switch (fate) {
      case 'accepted':
        if (decoded !== undefined) applyDatagram(address, decoded);
        return;
      case 'unproved':
        if (decoded !== undefined) answerUnproved(address, decoded.heartbeat.epoch);
        return;
      case 'forged':
      case 'replayed':
        traffic.refused += 1;
        return;
      case 'own':
        return;
      default:
        fate satisfies never;
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
      const live = listLive().map(({ id }) => teamDemand.get(id));
      return new Map(
        teams.map((team) => {
          const hash = computeTeamHash(team);
          return [team, live.reduce((sum, one) => sum + (one?.get(hash) ?? 0), 0)];
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
