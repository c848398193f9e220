/**
 * Releases the duties of an instance that stops. Both records are sent at the same time and take
 * effect in any order, also late: a release is stored only while nothing has been claimed since, and
 * a departure names the incarnation that has left.
 */
import {
  encodeDeparture,
  encodeHeartbeat,
  encodeRelease,
  type Claim,
  type Member,
} from 'vanilladock/lib/duties/claim-table.js';
import type { HandOver } from 'vanilladock/lib/jobs/hand-over.js';
import type { AppendOutcome, KeyedStore } from 'vanilladock/lib/ports/keyed-store.js';
import type { JsonLog } from '../json-log.js';
import { waitMs } from './clock.js';
import { CLAIMS, HEARTBEATS } from './duty-partitions.js';

/** Claims to release, and the store that keeps them. */
export interface DutyReleaseOptions {
  readonly store: KeyedStore;
  readonly self: Member;
  readonly claims: readonly Claim[];
  /** Returns the end of the claims as of the last read; undefined before the first. */
  readonly getClaimsEnd: () => number | undefined;
  /** Says whether no newer claim than this one, or its release, had been read then. */
  readonly isNewest: (claim: Claim) => boolean;
  /** Finds what the next holder of a duty is told. */
  readonly findHandOver: (duty: string) => HandOver | undefined;
  readonly log: JsonLog;
}

/** Others that stop at the same time release their duties in the same partition. */
const MAX_ATTEMPTS = 6;

/** No attempt starts later than this; the departure frees the duties too. */
const RETRY_LIMIT_MS = 1_000;

/** Pause in which the records of others are read. */
const RETRY_MS = 30;

/**
 * Appends the releases unless the claims have grown since they were read. Without them the duties
 * are free once the departure is read.
 */
async function appendReleases(options: DutyReleaseOptions): Promise<AppendOutcome['kind']> {
  const { store, claims, getClaimsEnd, isNewest, findHandOver } = options;
  const startedMs = performance.now();
  for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
    // Another instance may have claimed a duty since the last attempt.
    const records = claims
      .filter(isNewest)
      .map((claim) => encodeRelease(claim, findHandOver(claim.duty)));
    if (records.length === 0) return 'stored';
    const offset = getClaimsEnd();
    if (offset === undefined) return 'refused';
    const outcome = await store.append(CLAIMS, records, { kind: 'end', offset });
    const isLate = performance.now() - startedMs > RETRY_LIMIT_MS;
    if (outcome.kind !== 'end-moved' || isLate) return outcome.kind;
    await waitMs(RETRY_MS);
  }
  return 'end-moved';
}

/** Releases duties and reports that this instance is leaving, but goes on with its other duties. */
export async function reportLeaving(options: DutyReleaseOptions): Promise<void> {
  const { store, self, claims, log } = options;
  const [outcome, notice] = await Promise.all([
    appendReleases(options),
    store.append(HEARTBEATS, [encodeHeartbeat(self, true)], { kind: 'none' }),
  ]);
  log.info({ event: 'leaving', count: claims.length, outcome, notice: notice.kind });
}

/** Releases the duties and reports that this instance has left. */
export async function releaseDuties(options: DutyReleaseOptions): Promise<void> {
  const { store, self, claims, log } = options;
  const [outcome, departure] = await Promise.all([
    appendReleases(options),
    store.append(HEARTBEATS, [encodeDeparture(self)], { kind: 'none' }),
  ]);
  log.info({
    event: 'duties-released',
    count: claims.length,
    outcome,
    departure: departure.kind,
  });
}
