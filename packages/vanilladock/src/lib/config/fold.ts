/**
 * Folds publications into the configuration in force. A publication takes effect only when it was
 * made from the current version, so that of racing operators every reader picks the same winner. The
 * version only grows. Fates are kept for a bounded number of publications, the newest ones.
 */
import { List, OrderedMap } from 'immutable';
import type { PlacedRecord } from '../log/record.js';
import { parseConfig } from './parse.js';
import type { ConfigRecord, PublicationRecord } from './records.js';
import type { Config } from './schema.js';

/** What became of a publication. */
export type PublicationFate =
  | { readonly kind: 'accepted'; readonly offset: number }
  | { readonly kind: 'superseded'; readonly winnerId: string; readonly winnerBy: string }
  | { readonly kind: 'invalid' };

/** One publication in the history. */
export interface HistoryEntry {
  readonly id: string;
  readonly by: string;
  /** Writer's wall clock in milliseconds since 1970; informative only. */
  readonly atMs: number;
  readonly offset: number;
  readonly base: number;
  readonly fate: PublicationFate;
}

/** The configuration in force and the fate of the newest publications. */
export interface ConfigState {
  /** Offset of the publication in force; -1 before the first. */
  readonly version: number;
  readonly config: Config | undefined;
  readonly text: string;
  readonly author: string;
  readonly publicationId: string;
  /** By publication id, at most `FATES_KEPT`, oldest first. */
  readonly fates: OrderedMap<string, PublicationFate>;
  /** At most `FATES_KEPT`, oldest first. */
  readonly history: List<HistoryEntry>;
}

/** Publications whose fate is kept. */
export const FATES_KEPT = 256;

/** Creates the state before any publication. */
export function createConfigState(): ConfigState {
  return {
    version: -1,
    config: undefined,
    text: '',
    author: '',
    publicationId: '',
    fates: OrderedMap(),
    history: List(),
  };
}

/** Keeps a publication's fate and drops the oldest one beyond the bound. */
function recordFate(
  state: ConfigState,
  { record, offset }: PlacedRecord<PublicationRecord>,
  fate: PublicationFate,
): ConfigState {
  const { id, by, at, base } = record;
  const fates = state.fates.set(id, fate);
  const history = state.history.push({ id, by, atMs: at, offset, base, fate });
  return {
    ...state,
    fates: fates.size > FATES_KEPT ? fates.rest() : fates,
    history: history.size > FATES_KEPT ? history.shift() : history,
  };
}

/** Folds a publication. */
function foldPublication(state: ConfigState, placed: PlacedRecord<PublicationRecord>): ConfigState {
  const { record, offset } = placed;
  if (state.fates.has(record.id)) return state;
  if (record.base !== state.version) {
    const { publicationId: winnerId, author: winnerBy } = state;
    return recordFate(state, placed, { kind: 'superseded', winnerId, winnerBy });
  }
  const parsed = parseConfig(record.text);
  if (parsed.isErr()) return recordFate(state, placed, { kind: 'invalid' });
  const next = {
    ...state,
    version: offset,
    config: parsed.value,
    text: record.text,
    author: record.by,
    publicationId: record.id,
  };
  return recordFate(next, placed, { kind: 'accepted', offset });
}

/** Folds one record into the configuration state. */
export function foldConfig(state: ConfigState, placed: PlacedRecord<ConfigRecord>): ConfigState {
  const { record, offset } = placed;
  switch (record.kind) {
    case 'config.publication':
      return foldPublication(state, { record, offset });
    default:
      return record.kind satisfies never;
  }
}
