/** Lists what differs between the configuration in force and a draft. */
import { makeKeyLabel, type TeamKeys } from '../teams/team-directory.js';
import type { FleetDraft } from './fleet-draft.js';

/** A difference; texts are JSON, and keys appear by their labels only. */
export interface DraftChange {
  readonly kind: 'added' | 'removed' | 'changed';
  /** Place by the names of `FleetConfig` and of the entry, such as `routes quotes policy.stretch`. */
  readonly place: EntryPlace;
  readonly before: string | undefined;
  readonly after: string | undefined;
}

/** Place of a difference; the field is undefined for a whole entry. */
export interface EntryPlace {
  readonly list: 'routes' | 'pools' | 'teams' | 'limits' | 'keys';
  /** Name of the entry; empty where there is only one. */
  readonly name: string;
  readonly field: string | undefined;
}

/** An entry of a draft. */
interface Entry {
  readonly list: EntryPlace['list'];
  readonly name: string;
  readonly values: object;
}

/** Fields of a named entry, as JSON texts. */
type Fields = ReadonlyMap<string, string>;

/** Flattens an entry into its fields; nested ones get a path with dots. */
function listFields(value: object, prefix = ''): readonly (readonly [string, string])[] {
  return Object.entries(value).flatMap(([name, field]: [string, unknown]) => {
    if (field === undefined) return [];
    return typeof field === 'object' && field !== null && !Array.isArray(field)
      ? listFields(field, `${prefix}${name}.`)
      : [[`${prefix}${name}`, JSON.stringify(field)] as const];
  });
}

/** Compares the fields of an entry that both versions have. */
function diffFields({ list, name }: Entry, before: Fields, after: Fields): readonly DraftChange[] {
  return [...new Set([...before.keys(), ...after.keys()])]
    .filter((field) => before.get(field) !== after.get(field))
    .map((field) => ({
      kind: 'changed',
      place: { list, name, field },
      before: before.get(field),
      after: after.get(field),
    }));
}

/** Compares entries by list and name. */
function diffEntries(
  before: ReadonlyMap<string, Entry>,
  after: ReadonlyMap<string, Entry>,
): readonly DraftChange[] {
  return [...new Set([...before.keys(), ...after.keys()])].flatMap((key) => {
    const old = before.get(key);
    const next = after.get(key);
    if (old !== undefined && next !== undefined) {
      return diffFields(next, new Map(listFields(old.values)), new Map(listFields(next.values)));
    }
    const entry = old ?? next;
    if (entry === undefined) return [];
    const place = { list: entry.list, name: entry.name, field: undefined };
    const kind = old === undefined ? 'added' : 'removed';
    return [{ kind, place, before: undefined, after: undefined } as const];
  });
}

/** Makes the entry of a team, with its keys by label. */
function makeTeamEntry({ team, keys }: TeamKeys): Entry {
  const { name, ...values } = team;
  return { list: 'teams', name, values: { ...values, keys: keys.map(makeKeyLabel).sort() } };
}

/** Lists the entries of a draft by list and name. */
function listEntries({ config, teams = [] }: FleetDraft): ReadonlyMap<string, Entry> {
  const entries: readonly Entry[] = [
    ...config.routes.map(({ name, ...values }) => ({ list: 'routes' as const, name, values })),
    ...config.pools.map(({ name, ...values }) => ({ list: 'pools' as const, name, values })),
    ...teams.map(makeTeamEntry),
    { list: 'limits', name: '', values: config.limits },
  ];
  return new Map(entries.map((entry) => [`${entry.list} ${entry.name}`, entry]));
}

/** Lists the differences, by entry. */
export function diffFleetDrafts(before: FleetDraft, after: FleetDraft): readonly DraftChange[] {
  const hadTeams = before.teams !== undefined;
  const hasTeams = after.teams !== undefined;
  const change: DraftChange = {
    kind: 'changed',
    place: { list: 'keys', name: '', field: undefined },
    before: hadTeams ? 'needed' : 'not needed',
    after: hasTeams ? 'needed' : 'not needed',
  };
  return [
    ...(hadTeams === hasTeams ? [] : [change]),
    ...diffEntries(listEntries(before), listEntries(after)),
  ];
}
