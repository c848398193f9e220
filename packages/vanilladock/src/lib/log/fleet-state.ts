/**
 * Folds the log into the state of the fleet, which combines all domains up to an offset. Equal
 * prefixes of the log give equal states and equal digests. A record of an unknown kind or version,
 * or one that makes a fold throw, is skipped by every reader alike.
 */
import { createHash } from 'node:crypto';
import type { StoredRecord } from '../ports/log-service.js';
import { decodeRecord } from './codec.js';
import { DOMAINS, type Domain, type DomainStates } from './domains.js';
import { addKey, createRecentKeys, hasKey, makeKey, type RecentKeys } from './recent-keys.js';
import type { LogRecord, PlacedRecord } from './record.js';

/** State of the fleet, folded from the log. */
export interface FleetState extends DomainStates {
  /** Offset after the last folded record, which is the next to fold; 0 before the first. */
  readonly next: number;
  /** Running digest over the records and the domains that each one changed; empty at first. */
  readonly digest: string;
  /** Keys of the newest records, by which repeated appends are recognised. */
  readonly recentKeys: RecentKeys;
}

const DIGEST_LENGTH = 16;
const DOMAIN_NAMES = Object.keys(DOMAINS) as (keyof DomainStates)[];

/** Creates the state before the first record of the log. */
export function createFleetState(): FleetState {
  const states = Object.fromEntries(
    DOMAIN_NAMES.map((name) => [name, DOMAINS[name].create()]),
  ) as unknown as DomainStates;
  return { ...states, next: 0, digest: '', recentKeys: createRecentKeys() };
}

/** Folds a record into one domain; a record that makes the fold throw changes nothing. */
function foldDomain(
  states: DomainStates,
  name: keyof DomainStates,
  placed: PlacedRecord,
): DomainStates {
  const domain = DOMAINS[name] as Domain<unknown>;
  if (!domain.kinds.includes(placed.record.kind)) return states;
  try {
    const folded = domain.fold(states[name], placed, states);
    return folded === states[name] ? states : { ...states, [name]: folded };
  } catch {
    return states;
  }
}

/** Folds a record into all domains, unless it is a repetition. */
function foldRecord(state: FleetState, offset: number, record: LogRecord): FleetState {
  const key = makeKey(record.id);
  if (hasKey(state.recentKeys, key)) return state;
  const placed = { offset, record };
  const folded = DOMAIN_NAMES.reduce<DomainStates>(
    (states, name) => foldDomain(states, name, placed),
    state,
  );
  return { ...state, ...folded, recentKeys: addKey(state.recentKeys, key) };
}

/** Extends the running digest by a record and the domains that it changed. */
function computeDigest(before: FleetState, after: FleetState, { offset, text }: StoredRecord) {
  const effects = DOMAIN_NAMES.map((name) => (before[name] === after[name] ? '0' : '1')).join('');
  return createHash('sha256')
    .update(`${before.digest}\n${offset}\n${effects}\n${text}`)
    .digest('hex')
    .slice(0, DIGEST_LENGTH);
}

/**
 * Folds the record at `state.next`; records at other offsets change nothing. A record that is
 * skipped, or a repetition, still advances `next` and the digest.
 */
export function foldFleet(state: FleetState, stored: StoredRecord): FleetState {
  if (stored.offset !== state.next) return state;
  const record = decodeRecord(stored.text);
  const folded = record === undefined ? state : foldRecord(state, stored.offset, record);
  return { ...folded, next: stored.offset + 1, digest: computeDigest(state, folded, stored) };
}
