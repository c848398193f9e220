/** Lists what differs between the configuration in force and a draft, in the operators' words. */
import { makeKeyLabel, type TeamKeys } from '../teams/team-directory.js';
import type { FleetDraft } from './fleet-draft.js';

/** A difference; texts are JSON, and keys appear by their labels only. */
export interface DraftChange {
  readonly kind: 'added' | 'removed' | 'changed';
  /** What it is about, such as `route quotes, stretch`. */
  readonly what: string;
  readonly before: string | undefined;
  readonly after: string | undefined;
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
function diffFields(name: string, before: Fields, after: Fields): readonly DraftChange[] {
  return [...new Set([...before.keys(), ...after.keys()])]
    .filter((field) => before.get(field) !== after.get(field))
    .map((field) => ({
      kind: 'changed',
      what: `${name}, ${field}`,
      before: before.get(field),
      after: after.get(field),
    }));
}

/** Compares entries by name. */
function diffEntries(
  before: ReadonlyMap<string, object>,
  after: ReadonlyMap<string, object>,
): readonly DraftChange[] {
  return [...new Set([...before.keys(), ...after.keys()])].flatMap((name) => {
    const old = before.get(name);
    const next = after.get(name);
    if (old === undefined || next === undefined) {
      const kind = old === undefined ? 'added' : 'removed';
      return [{ kind, what: name, before: undefined, after: undefined } as const];
    }
    return diffFields(name, new Map(listFields(old)), new Map(listFields(next)));
  });
}

/** Makes the entry of a team, with its keys by label. */
function makeTeamEntry({ team, keys }: TeamKeys): readonly [string, object] {
  const { name, ...values } = team;
  return [`team ${name}`, { ...values, keys: keys.map(makeKeyLabel).sort() }];
}

/** Lists the entries of a draft by name. */
function listEntries({ config, teams = [] }: FleetDraft): ReadonlyMap<string, object> {
  return new Map<string, object>([
    ...config.routes.map(({ name, ...values }) => [`route ${name}`, values] as const),
    ...config.pools.map(({ name, ...values }) => [`service ${name}`, values] as const),
    ...teams.map(makeTeamEntry),
    ['limits', config.limits],
  ]);
}

/** Lists the differences, by entry. */
export function diffFleetDrafts(before: FleetDraft, after: FleetDraft): readonly DraftChange[] {
  const hadTeams = before.teams !== undefined;
  const hasTeams = after.teams !== undefined;
  const change: DraftChange = {
    kind: 'changed',
    what: 'keys of calls',
    before: hadTeams ? 'needed' : 'not needed',
    after: hasTeams ? 'needed' : 'not needed',
  };
  return [
    ...(hadTeams === hasTeams ? [] : [change]),
    ...diffEntries(listEntries(before), listEntries(after)),
  ];
}
