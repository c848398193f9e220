/**
 * Publishes a configuration: appends it with the version that it is based on, then reads the log
 * back to learn whether it was accepted; an outcome that cannot be confirmed is `unknown`. Before
 * reporting `accepted` it offers the records to the entries, so that they receive the new
 * configuration even if the log fails at that moment.
 */
import { randomUUID } from 'node:crypto';
import {
  decodeRecord,
  diffConfigs,
  encodeRecord,
  foldFleet,
  parseConfig,
  type Config,
  type ConfigChange,
  type ConfigFault,
  type ConfigState,
  type FleetState,
  type PublicationEntry,
  type LogService,
  type StoredRecord,
} from 'vanilladock';
import { readFleet } from '../log-reader.js';
import { waitMs } from '../servers.js';

/** The result of publishing, as far as it could be confirmed. */
export type PublishAnswer =
  | { readonly kind: 'accepted'; readonly offset: number }
  | {
      readonly kind: 'superseded';
      readonly winnerId: string;
      readonly winnerBy: string;
      /** Version in force, to base the next publication on. */
      readonly version: number;
      /** Changes between the base of the publication and the version in force; empty if unknown. */
      readonly changes: readonly ConfigChange[];
    }
  /** The configuration has faults and was not published. */
  | { readonly kind: 'invalid'; readonly faults: readonly ConfigFault[] }
  /** The log was unreachable or refused the record; nothing was published. */
  | { readonly kind: 'not-published'; readonly message: string }
  /** The record may be in the log, or may still arrive there. */
  | { readonly kind: 'unknown'; readonly id: string; readonly message: string };

/** A configuration to publish. */
export interface Publication {
  /** The configuration as YAML. */
  readonly text: string;
  /** Version that the text is based on; -1 for the first publication. */
  readonly base: number;
  /** Name of the publisher. */
  readonly by: string;
  /** State read earlier, from which reading the log continues. */
  readonly known?: FleetState;
}

/**
 * Offers records read from the log to the entries; resolves when all offers have been attempted.
 */
export type OfferRecords = (records: readonly StoredRecord[]) => Promise<void>;

/** The state and records read after a publication was sent. */
interface ReadBack {
  readonly state: FleetState;
  /** Records read since the publication was sent, in order. */
  readonly records: readonly StoredRecord[];
}

const READ_BACK_LIMIT_MS = 10_000;
const READ_BACK_WAIT_MS = 1_000;
const READ_BACK_RETRY_MS = 250;

/** Reads the configuration state from the log; undefined when it cannot be read. */
export async function readConfigState(service: LogService): Promise<ConfigState | undefined> {
  const state = await readFleet(service);
  return state.isOk() ? state.value.config : undefined;
}

/**
 * Reads the newest publications and their outcomes, oldest first; undefined when the log cannot be
 * read.
 */
export async function readHistory(
  service: LogService,
): Promise<readonly PublicationEntry[] | undefined> {
  const state = await readConfigState(service);
  return state?.history.toArray();
}

/**
 * Continues reading from a state until the publication's record is folded or a time limit passes.
 */
async function readBack(service: LogService, from: FleetState, id: string): Promise<ReadBack> {
  const endMs = performance.now() + READ_BACK_LIMIT_MS;
  const records: StoredRecord[] = [];
  let state = from;
  while (!state.config.fates.has(id) && performance.now() < endMs) {
    const slice = await service.read(state.next, READ_BACK_WAIT_MS);
    if (slice.isErr()) {
      await waitMs(READ_BACK_RETRY_MS);
    } else {
      records.push(...slice.value.records.filter(({ offset }) => offset >= state.next));
      state = slice.value.records.reduce(foldFleet, state);
    }
  }
  return { state, records };
}

/** Reads the configuration of an earlier version; undefined when the log no longer holds it. */
async function readConfigVersion(
  service: LogService,
  version: number,
): Promise<Config | undefined> {
  if (version < 0) return undefined;
  const slice = await service.read(version, 0);
  const stored = slice.isOk() ? slice.value.records[0] : undefined;
  const record = stored?.offset === version ? decodeRecord(stored.text) : undefined;
  if (record?.kind !== 'config.publication') return undefined;
  const parsed = parseConfig(record.text);
  return parsed.isOk() ? parsed.value : undefined;
}

/** Builds the answer for a superseded publication, with the changes since its base. */
async function makeSupersededAnswer(
  service: LogService,
  base: number,
  { config, version, publicationId, author }: ConfigState,
): Promise<PublishAnswer> {
  const before = await readConfigVersion(service, base);
  const isKnown = config !== undefined && (before !== undefined || base === -1);
  const changes = isKnown ? diffConfigs(before, config) : [];
  return { kind: 'superseded', winnerId: publicationId, winnerBy: author, version, changes };
}

/** Publishes a configuration and resolves to its confirmed result, or to `unknown`. */
export async function publishConfig(
  service: LogService,
  publication: Publication,
  offerRecords: OfferRecords = async () => {},
): Promise<PublishAnswer> {
  const parsed = parseConfig(publication.text);
  if (parsed.isErr()) return { kind: 'invalid', faults: parsed.error };
  const before = await readFleet(service, publication.known);
  if (before.isErr()) return { kind: 'not-published', message: before.error.message };
  if (before.value.config.version !== publication.base) {
    return makeSupersededAnswer(service, publication.base, before.value.config);
  }
  const id = randomUUID();
  const head = { version: 1, id, at: Date.now() } as const;
  const { text, base, by } = publication;
  const record = encodeRecord({ kind: 'config.publication', ...head, text, base, by });
  const sent = await service.append([record]);
  if (sent.isErr() && sent.error.kind === 'refused') {
    return { kind: 'not-published', message: sent.error.message };
  }
  const { state, records } = await readBack(service, before.value, id);
  const outcome = state.config.fates.get(id);
  if (outcome === undefined) {
    const message = `the log shows no record ${id} yet; look for it with history before trying again`;
    return { kind: 'unknown', id, message };
  }
  switch (outcome.kind) {
    case 'accepted':
      await offerRecords(records);
      return outcome;
    case 'superseded':
      return makeSupersededAnswer(service, base, state.config);
    case 'invalid':
      return { kind: 'invalid', faults: [] };
    default:
      return outcome satisfies never;
  }
}
