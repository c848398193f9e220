/**
 * Publishes a configuration: appends it with the version it was made from, then reads the log back to
 * learn whether it was accepted. The answer is a fact or `unknown`, never a guess. Before it says
 * `accepted` it hands the records to the entries that it is told of, so that they have the new
 * configuration even if the log goes down at that moment.
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
  type HistoryEntry,
  type LogService,
  type StoredRecord,
} from 'vanilladock';
import { readFleet } from '../log-reader.js';
import { waitMs } from '../servers.js';

/** What is known of a publication. */
export type PublishAnswer =
  | { readonly kind: 'accepted'; readonly offset: number }
  | {
      readonly kind: 'superseded';
      readonly winnerId: string;
      readonly winnerBy: string;
      /** Version to make the next publication from. */
      readonly version: number;
      /** What changed since the version that the publication was made from, if that is known. */
      readonly changes: readonly ConfigChange[];
    }
  /** Faulty, hence not published. */
  | { readonly kind: 'invalid'; readonly faults: readonly ConfigFault[] }
  /** The log was not reached or said no; nothing was published. */
  | { readonly kind: 'not-published'; readonly message: string }
  /** The publication may be in the log or still come. */
  | { readonly kind: 'unknown'; readonly id: string; readonly message: string };

/** What an operator publishes. */
export interface Publication {
  readonly text: string;
  /** Version that the text was made from; -1 for the first. */
  readonly base: number;
  readonly by: string;
  /** State read earlier, from which the log is read on instead of anew. */
  readonly known?: FleetState;
}

/** Hands records read from the log to the entries; resolves when it has tried. */
export type OfferRecords = (records: readonly StoredRecord[]) => Promise<void>;

interface ReadBack {
  readonly state: FleetState;
  /** Records read since the publication was sent. */
  readonly records: readonly StoredRecord[];
}

const READ_BACK_LIMIT_MS = 10_000;
const READ_BACK_WAIT_MS = 1_000;
const READ_BACK_PAUSE_MS = 250;

/** Reads the configuration state from the log; undefined when it cannot be read. */
export async function readConfigState(service: LogService): Promise<ConfigState | undefined> {
  const state = await readFleet(service);
  return state.isOk() ? state.value.config : undefined;
}

/** Reads the newest publications and their fates, oldest first; undefined when the log is down. */
export async function readHistory(
  service: LogService,
): Promise<readonly HistoryEntry[] | undefined> {
  const state = await readConfigState(service);
  return state?.history.toArray();
}

/** Reads on from a state until the publication's record is folded, or until a time limit. */
async function readBack(service: LogService, from: FleetState, id: string): Promise<ReadBack> {
  const endMs = performance.now() + READ_BACK_LIMIT_MS;
  const records: StoredRecord[] = [];
  let state = from;
  while (!state.config.fates.has(id) && performance.now() < endMs) {
    const slice = await service.read(state.next, READ_BACK_WAIT_MS);
    if (slice.isErr()) {
      await waitMs(READ_BACK_PAUSE_MS);
    } else {
      records.push(...slice.value.records.filter(({ offset }) => offset >= state.next));
      state = slice.value.records.reduce(foldFleet, state);
    }
  }
  return { state, records };
}

/** Reads the configuration of a version that is not in force any more; undefined when it is gone. */
async function readConfigAt(service: LogService, version: number): Promise<Config | undefined> {
  if (version < 0) return undefined;
  const slice = await service.read(version, 0);
  const stored = slice.isOk() ? slice.value.records[0] : undefined;
  const record = stored?.offset === version ? decodeRecord(stored.text) : undefined;
  if (record?.kind !== 'config.publication') return undefined;
  const parsed = parseConfig(record.text);
  return parsed.isOk() ? parsed.value : undefined;
}

/** Builds the answer for a publication that lost, with what has changed since its base. */
async function makeSuperseded(
  service: LogService,
  base: number,
  { config, version, publicationId, author }: ConfigState,
): Promise<PublishAnswer> {
  const before = await readConfigAt(service, base);
  const isKnown = config !== undefined && (before !== undefined || base === -1);
  const changes = isKnown ? diffConfigs(before, config) : [];
  return { kind: 'superseded', winnerId: publicationId, winnerBy: author, version, changes };
}

/** Publishes YAML text made from version `base`; resolves to what is known of it. */
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
    return makeSuperseded(service, publication.base, before.value.config);
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
  const fate = state.config.fates.get(id);
  if (fate === undefined) {
    const message = `the log shows no record ${id} yet; look for it with history before trying again`;
    return { kind: 'unknown', id, message };
  }
  switch (fate.kind) {
    case 'accepted':
      await offerRecords(records);
      return fate;
    case 'superseded':
      return makeSuperseded(service, base, state.config);
    case 'invalid':
      return { kind: 'invalid', faults: [] };
    default:
      return fate satisfies never;
  }
}
