/**
 * Table of duties and instances, folded from the records of one keyed partition. A claim is appended
 * on the condition that the partition has not grown since it was read, so that its offset is a unique
 * and rising fencing token. A holder lives as long as its heartbeats arrive.
 */
import murmurHash from 'imurmurhash';
import type { KeyedRecord, StoredKeyedRecord } from '../ports/keyed-store.js';

/** An instance of the system itself, in one life of its process. */
export interface Member {
  /** Name and start of the process. */
  readonly id: string;
  /** The same in every life. */
  readonly name: string;
  /** Where peers call it. */
  readonly address: string;
  /** Share of a core that it has. */
  readonly cores: number;
}

/** A claim in force. */
export interface Claim {
  readonly duty: string;
  readonly holder: string;
  readonly token: number;
}

/** Table of claims and members. */
export interface ClaimTable {
  readonly apply: (record: StoredKeyedRecord, nowMs: number) => void;
  /** Notes a sign of life that a member sent itself; a later life that is known goes before it. */
  readonly observeMember: (member: Member, heardMs: number) => void;
  readonly listMembers: (nowMs: number) => readonly Member[];
  /** Lists the members that were heard in a longer time, of which some may be gone. */
  readonly listKnownMembers: (nowMs: number) => readonly Member[];
  readonly findMember: (id: string, nowMs: number) => Member | undefined;
  /** Finds a member whether it was heard lately or not; undefined when it left or has a later life. */
  readonly findKnownMember: (id: string) => Member | undefined;
  /** Finds the newest claim of a duty, whether its holder lives or not. */
  readonly findClaim: (duty: string) => Claim | undefined;
  /** Finds the claim of a duty whose holder lives. */
  readonly findLiveClaim: (duty: string, nowMs: number) => Claim | undefined;
}

/** A member without a heartbeat for this long is taken as gone. */
export const MEMBER_TTL_MS = 1_800;

/** A member without a heartbeat for this long is not told anything any more. */
const KNOWN_TTL_MS = 30_000;

/** Time between heartbeats. */
export const HEARTBEAT_MS = 500;

const DUTY_PREFIX = 'duty/';
const MEMBER_PREFIX = 'member/';

/** Encodes a claim, or without a member the release of a duty. */
export function encodeClaim(duty: string, member: Member | undefined): KeyedRecord {
  return {
    key: `${DUTY_PREFIX}${duty}`,
    value: JSON.stringify({ holder: member?.id ?? '', member }),
  };
}

/** Encodes a heartbeat. */
export function encodeHeartbeat(member: Member): KeyedRecord {
  return { key: `${MEMBER_PREFIX}${member.name}`, value: JSON.stringify(member) };
}

/** Encodes the departure of a member. */
export function encodeDeparture(member: Member): KeyedRecord {
  return { key: `${MEMBER_PREFIX}${member.name}`, value: undefined };
}

/** Creates an empty table. */
export function createClaimTable(): ClaimTable {
  const claims = new Map<string, Claim>();
  const members = new Map<string, { readonly member: Member; readonly heardMs: number }>();
  const isAlive = (heardMs: number, nowMs: number) => nowMs - heardMs <= MEMBER_TTL_MS;
  const listHeard = (nowMs: number, ttlMs: number) =>
    [...members.values()]
      .filter(({ heardMs }) => nowMs - heardMs <= ttlMs)
      .map(({ member }) => member);
  const findMember = (id: string, nowMs: number) => {
    const found = [...members.values()].find(({ member }) => member.id === id);
    return found !== undefined && isAlive(found.heardMs, nowMs) ? found.member : undefined;
  };
  const observeMember = (member: Member, heardMs: number) => {
    const found = members.get(member.name);
    if (found !== undefined && found.member.id !== member.id) return;
    members.set(member.name, { member, heardMs: Math.max(heardMs, found?.heardMs ?? -Infinity) });
  };
  return {
    apply: ({ key, value, offset }, nowMs) => {
      if (key.startsWith(MEMBER_PREFIX)) {
        const name = key.slice(MEMBER_PREFIX.length);
        if (value === undefined) members.delete(name);
        else members.set(name, { member: JSON.parse(value) as Member, heardMs: nowMs });
        return;
      }
      if (!key.startsWith(DUTY_PREFIX) || value === undefined) return;
      const duty = key.slice(DUTY_PREFIX.length);
      const { holder, member } = JSON.parse(value) as {
        readonly holder: string;
        readonly member?: Member;
      };
      const known = claims.get(duty);
      if (known !== undefined && known.token >= offset) return;
      claims.set(duty, { duty, holder, token: offset });
      // A claim is a sign of life of its holder.
      if (member !== undefined) observeMember(member, nowMs);
    },
    observeMember,
    listMembers: (nowMs) => listHeard(nowMs, MEMBER_TTL_MS),
    listKnownMembers: (nowMs) => listHeard(nowMs, KNOWN_TTL_MS),
    findMember,
    findKnownMember: (id) => [...members.values()].find(({ member }) => member.id === id)?.member,
    findClaim: (duty) => claims.get(duty),
    findLiveClaim: (duty, nowMs) => {
      const claim = claims.get(duty);
      if (claim === undefined || claim.holder === '') return undefined;
      return findMember(claim.holder, nowMs) === undefined ? undefined : claim;
    },
  };
}

/**
 * Chooses who should claim each vacant duty: the member with the least load for its cores, ties by a
 * hash of duty and member, so that all members come to the same choice.
 */
export function chooseClaimants(
  vacant: readonly string[],
  held: ReadonlyMap<string, number>,
  members: readonly Member[],
): ReadonlyMap<string, string> {
  const counts = new Map(held);
  const chosen = new Map<string, string>();
  [...vacant].sort().forEach((duty) => {
    const ranked = members
      .map((member) => ({
        id: member.id,
        load: ((counts.get(member.id) ?? 0) + 1) / member.cores,
        tie: murmurHash(`${duty} ${member.name}`).result(),
      }))
      .sort((a, b) => a.load - b.load || a.tie - b.tie);
    const [first] = ranked;
    if (first === undefined) return;
    chosen.set(duty, first.id);
    counts.set(first.id, (counts.get(first.id) ?? 0) + 1);
  });
  return chosen;
}
