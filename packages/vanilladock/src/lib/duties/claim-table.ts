/**
 * Table of duty claims and members, folded from the records of one keyed partition. A claim is
 * appended on the condition that the partition has not grown since it was read, so its offset is a
 * unique and increasing fencing token. A holder is alive as long as its heartbeats arrive.
 */
import murmurHash from 'imurmurhash';
import { z } from 'zod';
import { handOverSchema, type HandOver, type TimedHandOver } from '../jobs/hand-over.js';
import { parseJson } from '../parse-json.js';
import type { KeyedRecord, StoredKeyedRecord } from '../ports/keyed-store.js';

/** One incarnation of a process of this system. */
export interface Member {
  /** Identifies the incarnation: the process name, `~` and its start in ms since 1970. */
  readonly id: string;
  /** Process name; the same in every incarnation. */
  readonly name: string;
  /** Address at which peers reach the process. */
  readonly address: string;
  /** Number of cores available to the process; may be a fraction. */
  readonly cores: number;
}

/** Newest claim on a duty; the record of a release counts as a claim without a holder. */
export interface Claim {
  readonly duty: string;
  /** Member id of the holder; empty if the duty was released. */
  readonly holder: string;
  /** Offset of the record; the fencing token. */
  readonly token: number;
  /** Token of the claim that a release ends; undefined for other claims and in old releases. */
  readonly releasedToken?: number | undefined;
  /** What the holder that has released the duty tells, as of when the release was read. */
  readonly told?: TimedHandOver | undefined;
}

/** Table of claims and members. All times are monotonic, in milliseconds. */
export interface ClaimTable {
  /**
   * Applies a record that was read at `nowMs`; ignores older claims and keys of other kinds. Returns
   * false, without any effect, for a value that is no claim or heartbeat.
   */
  readonly apply: (record: StoredKeyedRecord, nowMs: number) => boolean;
  /** Records a report received directly from a member; ignored if another incarnation is known. */
  readonly observeMember: (member: Member, lastReportMs: number) => void;
  /** Lists the members that are considered alive at `nowMs`. */
  readonly listMembers: (nowMs: number) => readonly Member[];
  /** Lists those of them that are not leaving, and so may claim duties. */
  readonly listClaimants: (nowMs: number) => readonly Member[];
  /** Lists the members that reported within a longer period; some of them may be gone. */
  readonly listKnownMembers: (nowMs: number) => readonly Member[];
  /** Finds the member with this id; undefined if it is unknown or no longer considered alive. */
  readonly findMember: (id: string, nowMs: number) => Member | undefined;
  /** Finds a member whatever its last report; undefined if it departed or was replaced. */
  readonly findKnownMember: (id: string) => Member | undefined;
  /** Finds the newest claim, even if it is a release or its holder is gone. */
  readonly findClaim: (duty: string) => Claim | undefined;
  /** Finds the newest claim; undefined if the duty is free or the holder is not alive. */
  readonly findLiveClaim: (duty: string, nowMs: number) => Claim | undefined;
  /**
   * Finds the newest claim that keeps others from claiming; undefined also if its holder is leaving,
   * which goes on with the duty until another claim is stored.
   */
  readonly findStayingClaim: (duty: string, nowMs: number) => Claim | undefined;
}

/** A member without a heartbeat for more than this many milliseconds is considered gone. */
export const MEMBER_TTL_MS = 1_800;

/** A member without a heartbeat for this long is no longer notified. */
const KNOWN_TTL_MS = 30_000;

/** Milliseconds between the heartbeats of a member. */
export const HEARTBEAT_MS = 500;

const DUTY_PREFIX = 'duty/';
const MEMBER_PREFIX = 'member/';

/** A member, as records and messages of peers state it. */
export const memberSchema = z.object({
  id: z.string().min(1),
  name: z.string().min(1),
  address: z.string(),
  cores: z.number().positive(),
});

/**
 * Value of a member's record; `isLeaving` is true once it stops, and `hasLeft` in the last one of an
 * incarnation.
 */
const memberRecordSchema = memberSchema.extend({
  isLeaving: z.boolean().default(false),
  hasLeft: z.boolean().default(false),
});

/** Value of the record of a claim; the holder is empty in that of a release. */
const claimRecordSchema = z.object({
  holder: z.string(),
  member: memberSchema.optional(),
  releasedToken: z.number().optional(),
  handOver: handOverSchema.optional(),
});

/** Encodes a claim by a member. */
export function encodeClaim(duty: string, member: Member): KeyedRecord {
  return { key: `${DUTY_PREFIX}${duty}`, value: JSON.stringify({ holder: member.id, member }) };
}

/**
 * Encodes the release of a duty by the holder of a claim, with what it tells the next one, but for
 * allotments: the record may be read when others have them.
 */
export function encodeRelease({ duty, token }: Claim, told?: HandOver): KeyedRecord {
  const handOver = told && { ...told, allotments: undefined };
  return {
    key: `${DUTY_PREFIX}${duty}`,
    value: JSON.stringify({ holder: '', releasedToken: token, handOver }),
  };
}

/**
 * Encodes the heartbeat of a member, which may be leaving; it replaces those of earlier incarnations.
 */
export function encodeHeartbeat(member: Member, isLeaving = false): KeyedRecord {
  const value = JSON.stringify(isLeaving ? { ...member, isLeaving } : member);
  return { key: `${MEMBER_PREFIX}${member.name}`, value };
}

/** Encodes the departure of a member under the key of its heartbeat. */
export function encodeDeparture(member: Member): KeyedRecord {
  const departed = { ...member, hasLeft: true };
  return { key: `${MEMBER_PREFIX}${member.name}`, value: JSON.stringify(departed) };
}

/** Parses the start of an incarnation from its id; `NaN` if it has none. */
function parseStart({ id }: Member): number {
  return Number(id.slice(id.lastIndexOf('~') + 1));
}

/** A member with the monotonic time of its last report, in milliseconds. */
interface KnownMember {
  readonly member: Member;
  readonly lastReportMs: number;
  readonly isLeaving: boolean;
}

/** Creates an empty table. */
export function createClaimTable(): ClaimTable {
  const claims = new Map<string, Claim>();
  const members = new Map<string, KnownMember>();
  const isAlive = (lastReportMs: number, nowMs: number) => nowMs - lastReportMs <= MEMBER_TTL_MS;
  const listReportedWithin = (nowMs: number, ttlMs: number) =>
    [...members.values()]
      .filter(({ lastReportMs }) => nowMs - lastReportMs <= ttlMs)
      .map(({ member }) => member);
  const findAlive = (id: string, nowMs: number) => {
    const found = [...members.values()].find(({ member }) => member.id === id);
    return found !== undefined && isAlive(found.lastReportMs, nowMs) ? found : undefined;
  };
  /** Newest incarnation that has left, by name; what is stored of it later proves nothing. */
  const departedIds = new Map<string, string>();
  const hasDeparted = ({ name, id }: Member) => departedIds.get(name) === id;
  /** Says whether a later incarnation is alive; a clock that was set back misleads no longer. */
  const isSuperseded = (member: Member, nowMs: number) => {
    const known = members.get(member.name);
    if (known === undefined || !isAlive(known.lastReportMs, nowMs)) return false;
    return parseStart(member) < parseStart(known.member);
  };
  const observeMember = (member: Member, lastReportMs: number) => {
    if (hasDeparted(member)) return;
    const known = members.get(member.name);
    if (known !== undefined && known.member.id !== member.id) return;
    members.set(member.name, {
      member,
      lastReportMs: Math.max(lastReportMs, known?.lastReportMs ?? -Infinity),
      isLeaving: known?.isLeaving ?? false,
    });
  };
  const applyMember = (name: string, value: string | undefined, nowMs: number): boolean => {
    if (value === undefined) {
      members.delete(name);
      return true;
    }
    const parsed = parseJson(memberRecordSchema, value);
    if (parsed === undefined) return false;
    const { hasLeft, isLeaving, ...member } = parsed;
    if (hasLeft) departedIds.set(name, member.id);
    else if (!hasDeparted(member) && !isSuperseded(member, nowMs)) {
      members.set(name, { member, lastReportMs: nowMs, isLeaving });
    }
    // A departure that is stored late must not remove the next incarnation.
    if (hasLeft && members.get(name)?.member.id === member.id) members.delete(name);
    return true;
  };
  return {
    apply: ({ key, value, offset }, nowMs) => {
      if (key.startsWith(MEMBER_PREFIX)) {
        return applyMember(key.slice(MEMBER_PREFIX.length), value, nowMs);
      }
      if (!key.startsWith(DUTY_PREFIX) || value === undefined) return true;
      const duty = key.slice(DUTY_PREFIX.length);
      const parsed = parseJson(claimRecordSchema, value);
      if (parsed === undefined) return false;
      const { holder, member, releasedToken, handOver } = parsed;
      const current = claims.get(duty);
      if (current !== undefined && current.token >= offset) return true;
      const told = handOver && { handOver, atMs: nowMs };
      claims.set(duty, { duty, holder, token: offset, releasedToken, told });
      // A claim proves that its holder is alive, so it counts as a heartbeat.
      if (member !== undefined) observeMember(member, nowMs);
      return true;
    },
    observeMember,
    listMembers: (nowMs) => listReportedWithin(nowMs, MEMBER_TTL_MS),
    listKnownMembers: (nowMs) => listReportedWithin(nowMs, KNOWN_TTL_MS),
    listClaimants: (nowMs) =>
      listReportedWithin(nowMs, MEMBER_TTL_MS).filter(
        ({ name }) => members.get(name)?.isLeaving === false,
      ),
    findMember: (id, nowMs) => findAlive(id, nowMs)?.member,
    findKnownMember: (id) => [...members.values()].find(({ member }) => member.id === id)?.member,
    findClaim: (duty) => claims.get(duty),
    findLiveClaim: (duty, nowMs) => {
      const claim = claims.get(duty);
      return claim && findAlive(claim.holder, nowMs) && claim;
    },
    findStayingClaim: (duty, nowMs) => {
      const claim = claims.get(duty);
      const holder = claim && findAlive(claim.holder, nowMs);
      return holder?.isLeaving === false ? claim : undefined;
    },
  };
}

/**
 * Chooses which member should claim each unclaimed duty: the one with the lowest load relative to
 * its cores. Ties are broken by a hash of duty and member, so that all members make the same
 * choice. Returns member ids by duty, empty without members; `held` gives the number of duties by
 * member id, where a missing member counts as 0.
 */
export function chooseClaimants(
  unclaimed: readonly string[],
  held: ReadonlyMap<string, number>,
  members: readonly Member[],
): ReadonlyMap<string, string> {
  const counts = new Map(held);
  const chosen = new Map<string, string>();
  [...unclaimed].sort().forEach((duty) => {
    const ranked = members
      .map((member) => ({
        id: member.id,
        load: ((counts.get(member.id) ?? 0) + 1) / member.cores,
        tie: murmurHash(`${duty} ${member.name}`).result(),
      }))
      .sort((a, b) => a.load - b.load || a.tie - b.tie);
    const [best] = ranked;
    if (best === undefined) return;
    chosen.set(duty, best.id);
    counts.set(best.id, (counts.get(best.id) ?? 0) + 1);
  });
  return chosen;
}
