/**
 * Folds publications into the configuration in force. A publication takes effect only when it was
 * made from the current version, so that of racing operators every reader picks the same winner.
 */
import { Map } from 'immutable';
import type { PlacedRecord } from '../log/record.js';
import { parseConfig } from './parse.js';
import type { ConfigRecord } from './records.js';
import type { Config } from './schema.js';

/** What became of a publication. */
export type PublicationFate =
  | { readonly kind: 'accepted'; readonly offset: number }
  | { readonly kind: 'superseded'; readonly winnerId: string; readonly winnerBy: string }
  | { readonly kind: 'invalid' };

/** The configuration in force and the fate of every publication seen. */
export interface ConfigState {
  /** Offset of the publication in force; -1 before the first. */
  readonly version: number;
  readonly config: Config | undefined;
  readonly text: string;
  readonly author: string;
  readonly publicationId: string;
  readonly fates: Map<string, PublicationFate>;
}

/** Creates the state before any publication. */
export function createConfigState(): ConfigState {
  return { version: -1, config: undefined, text: '', author: '', publicationId: '', fates: Map() };
}

/** Folds one record into the configuration state. */
export function foldConfig(state: ConfigState, placed: PlacedRecord<ConfigRecord>): ConfigState {
  const { record, offset } = placed;
  switch (record.kind) {
    case 'config.publication': {
      if (state.fates.has(record.id)) return state;
      if (record.base !== state.version) {
        const fate = {
          kind: 'superseded',
          winnerId: state.publicationId,
          winnerBy: state.author,
        } as const;
        return { ...state, fates: state.fates.set(record.id, fate) };
      }
      const parsed = parseConfig(record.text);
      if (parsed.isErr())
        return { ...state, fates: state.fates.set(record.id, { kind: 'invalid' }) };
      return {
        version: offset,
        config: parsed.value,
        text: record.text,
        author: record.by,
        publicationId: record.id,
        fates: state.fates.set(record.id, { kind: 'accepted', offset }),
      };
    }
    case 'config.snapshot': {
      if (record.configVersion <= state.version) return state;
      const parsed = parseConfig(record.text);
      if (parsed.isErr()) return state;
      return {
        version: record.configVersion,
        config: parsed.value,
        text: record.text,
        author: record.author,
        publicationId: record.publicationId,
        fates: state.fates.set(record.publicationId, {
          kind: 'accepted',
          offset: record.configVersion,
        }),
      };
    }
    default:
      return record satisfies never;
  }
}
