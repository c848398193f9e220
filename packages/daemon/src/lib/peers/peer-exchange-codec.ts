/**
 * Codec for the datagrams of the peer exchange: a msgpack array followed by a truncated HMAC-SHA256
 * under the key of the settings. Demand by service is a list in the order of the service names, and
 * teams are identified by a hash, so that a datagram stays within some hundred bytes. Demand by
 * team is quantized in steps of about 4 %.
 */
import { createHmac, timingSafeEqual } from 'node:crypto';
import murmur from 'imurmurhash';
import { Packr } from 'msgpackr';
import type { Heartbeat, TeamDemand } from 'vanilladock';
import { z } from 'zod';

/** Content of one datagram. */
export interface PeerDatagram {
  readonly heartbeat: Heartbeat;
  /**
   * Demand by team, in requests per second; the keys are hashes of the teams' names. A team that is
   * absent keeps the demand of earlier datagrams.
   */
  readonly teams: ReadonlyMap<number, number>;
}

/** Encodes and decodes datagrams for the currently configured services. */
export interface PeerCodec {
  /** Encodes a datagram; demand of services that are not set is left out. */
  readonly encode: (heartbeat: Heartbeat, teams: readonly TeamDemand[]) => Buffer;
  /**
   * Decodes a datagram; undefined when it fails authentication or its fields are malformed. Demand
   * by service is empty when the sender has other services configured.
   */
  readonly decode: (datagram: Buffer) => PeerDatagram | undefined;
  /** Sets the names of the configured services, in any order. */
  readonly setServices: (services: readonly string[]) => void;
}

const MAC_BYTES = 8;
const TEAM_BYTES = 4;
const HASH_BITS = 24;
/** Number of codes by which a rate far above `RATE_SCALE_PER_SECOND` doubles. */
const STEPS_PER_DOUBLING = 16;
/** Rate below which the scale is close to linear, in requests per second; 0 has the code 0. */
const RATE_SCALE_PER_SECOND = 0.25;
const MAX_RATE_CODE = 255;
const WIRE_VERSION = 1;
const SERVICES_HASH_MASK = 0xffff;

const COUNT = z.number().int().min(0);
const fieldsSchema = z.tuple([
  z.literal(WIRE_VERSION),
  z.string().min(1),
  COUNT,
  COUNT,
  COUNT,
  z.boolean(),
  z.number().int(),
  COUNT,
  z.tuple([COUNT], COUNT),
  z.instanceof(Buffer),
]);

/** Computes the 24-bit hash that identifies a team in datagrams; two teams may share one. */
export function computeTeamHash(team: string): number {
  return murmur(team).result() >>> (32 - HASH_BITS);
}

/** Encodes a rate in one byte on a logarithmic scale; higher rates are clamped. */
function encodeRate(perSecond: number): number {
  const code = Math.round(STEPS_PER_DOUBLING * Math.log2(1 + perSecond / RATE_SCALE_PER_SECOND));
  return Math.min(MAX_RATE_CODE, code);
}

/** Decodes a rate. */
function decodeRate(code: number): number {
  return (2 ** (code / STEPS_PER_DOUBLING) - 1) * RATE_SCALE_PER_SECOND;
}

/** Encodes demand by team, `TEAM_BYTES` each: the hash and the rate. */
function encodeTeams(teams: readonly TeamDemand[]): Buffer {
  const bytes = Buffer.alloc(teams.length * TEAM_BYTES);
  teams.forEach(({ team, perSecond }, index) => {
    bytes.writeUIntBE(computeTeamHash(team), index * TEAM_BYTES, TEAM_BYTES - 1);
    bytes.writeUInt8(encodeRate(perSecond), index * TEAM_BYTES + TEAM_BYTES - 1);
  });
  return bytes;
}

/** Decodes demand by team; the keys are hashes of the names. */
function decodeTeams(bytes: Buffer): ReadonlyMap<number, number> {
  const count = Math.floor(bytes.length / TEAM_BYTES);
  return new Map(
    Array.from({ length: count }, (_, index) => {
      const offset = index * TEAM_BYTES;
      const hash = bytes.readUIntBE(offset, TEAM_BYTES - 1);
      return [hash, decodeRate(bytes.readUInt8(offset + TEAM_BYTES - 1))] as const;
    }),
  );
}

/**
 * Creates a codec for the entries that share a key. Until `setServices` is called, it has no
 * services, so datagrams carry no demand by service.
 */
export function createPeerCodec(key: string): PeerCodec {
  const packr = new Packr();
  let services: readonly string[] = [];
  let servicesHash = 0;

  const computeMac = (body: Buffer) =>
    createHmac('sha256', key).update(body).digest().subarray(0, MAC_BYTES);
  const isAuthentic = (datagram: Buffer) => {
    if (datagram.length <= MAC_BYTES) return false;
    const mac = computeMac(datagram.subarray(0, -MAC_BYTES));
    return timingSafeEqual(datagram.subarray(-MAC_BYTES), mac);
  };
  /** Decodes demand by service; empty when the sender has other services configured. */
  const decodeDemand = ([hash, ...counts]: readonly number[]) =>
    hash === servicesHash
      ? new Map(services.map((name, index) => [name, counts[index] ?? 0]))
      : new Map<string, number>();

  return {
    setServices: (names) => {
      services = [...names].sort();
      servicesHash = murmur(services.join(' ')).result() & SERVICES_HASH_MASK;
    },
    encode: (heartbeat, teams) => {
      const { id, epoch, receiverEpoch, sequence, isLeaving, appliedOffset, digest } = heartbeat;
      const counts = services.map((name) => heartbeat.demand.get(name) ?? 0);
      const head = [WIRE_VERSION, id, epoch, receiverEpoch, sequence, isLeaving];
      const demand = [servicesHash, ...counts];
      const body = packr.pack([...head, appliedOffset, digest, demand, encodeTeams(teams)]);
      return Buffer.concat([body, computeMac(body)]);
    },
    decode: (datagram) => {
      if (!isAuthentic(datagram)) return undefined;
      const fields = fieldsSchema.safeParse(packr.unpack(datagram.subarray(0, -MAC_BYTES)));
      if (!fields.success) return undefined;
      const [, id, epoch, receiverEpoch, sequence, isLeaving, appliedOffset, digest, ...rest] =
        fields.data;
      const head = { id, epoch, receiverEpoch, sequence, isLeaving, appliedOffset, digest };
      const heartbeat = { ...head, demand: decodeDemand(rest[0]) };
      return { heartbeat, teams: decodeTeams(rest[1]) };
    },
  };
}
