/**
 * Folds publications into the configuration in force. A publication is accepted only when it is
 * based on the current version, so every reader accepts the same one of concurrent publications.
 * The version only increases. Outcomes are kept for a bounded number of the newest publications.
 */
import { List, OrderedMap } from 'immutable';
import type { PlacedRecord } from '../log/record.js';
import { parseConfig } from './parse.js';
import type { ConfigRecord, PublicationRecord } from './records.js';
import type { Config } from './schema.js';

/**
 * Outcome of a publication. An accepted one came into force at its offset. A superseded one was not
 * based on the version then in force; the winner is the publication of that version, with an empty
 * id before the first. An invalid one has a text with faults.
 */
export type PublicationOutcome =
  | { readonly kind: 'accepted'; readonly offset: number }
  | { readonly kind: 'superseded'; readonly winnerId: string; readonly winnerBy: string }
  | { readonly kind: 'invalid' };

/** One publication in the history. */
export interface PublicationEntry {
  readonly id: string;
  readonly by: string;
  /** Wall clock of the publisher in milliseconds since 1970; for information only. */
  readonly atMs: number;
  readonly offset: number;
  /** Offset of the publication that this one is based on; -1 for the first. */
  readonly base: number;
  readonly fate: PublicationOutcome;
}

/** The configuration in force and the outcomes of the newest publications. */
export interface ConfigState {
  /** Offset of the publication in force; -1 before the first. */
  readonly version: number;
  /** The configuration in force; undefined before the first publication. */
  readonly config: Config | undefined;
  /** YAML text of the configuration in force; empty before the first publication. */
  readonly text: string;
  /** Operator who published the configuration in force; empty before the first publication. */
  readonly author: string;
  /** Record id of the publication in force; empty before the first. */
  readonly publicationId: string;
  /** Outcomes by publication id, at most `MAX_OUTCOMES_KEPT`, oldest first. */
  readonly fates: OrderedMap<string, PublicationOutcome>;
  /** The publications of these outcomes, at most `MAX_OUTCOMES_KEPT`, oldest first. */
  readonly history: List<PublicationEntry>;
}

/** Number of publications whose outcome is kept. */
export const MAX_OUTCOMES_KEPT = 256;

/** Creates the state before the first publication. */
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

/** Records a publication's outcome, and drops the oldest one beyond the limit. */
function recordOutcome(
  state: ConfigState,
  { record, offset }: PlacedRecord<PublicationRecord>,
  outcome: PublicationOutcome,
): ConfigState {
  const { id, by, at, base } = record;
  const outcomes = state.fates.set(id, outcome);
  const history = state.history.push({ id, by, atMs: at, offset, base, fate: outcome });
  return {
    ...state,
    fates: outcomes.size > MAX_OUTCOMES_KEPT ? outcomes.rest() : outcomes,
    history: history.size > MAX_OUTCOMES_KEPT ? history.shift() : history,
  };
}

/** Folds a publication; a repeated append of the same publication has no effect. */
function foldPublication(state: ConfigState, placed: PlacedRecord<PublicationRecord>): ConfigState {
  const { record, offset } = placed;
  if (state.fates.has(record.id)) return state;
  if (record.base !== state.version) {
    const { publicationId: winnerId, author: winnerBy } = state;
    return recordOutcome(state, placed, { kind: 'superseded', winnerId, winnerBy });
  }
  const parsed = parseConfig(record.text);
  if (parsed.isErr()) return recordOutcome(state, placed, { kind: 'invalid' });
  const published = {
    ...state,
    version: offset,
    config: parsed.value,
    text: record.text,
    author: record.by,
    publicationId: record.id,
  };
  return recordOutcome(published, placed, { kind: 'accepted', offset });
}

/**
 * Folds one record into the configuration state. A publication that is not accepted only adds its
 * outcome; one whose outcome is known already changes nothing.
 */
export function foldConfig(state: ConfigState, placed: PlacedRecord<ConfigRecord>): ConfigState {
  const { record, offset } = placed;
  switch (record.kind) {
    case 'config.publication':
      return foldPublication(state, { record, offset });
    default:
      return record.kind satisfies never;
  }
}
