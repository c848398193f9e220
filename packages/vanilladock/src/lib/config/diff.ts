/**
 * Compares two configurations: lists what was added, removed and changed, and how many data
 * centres, pools, services and teams each change affects.
 */
import { isDeepStrictEqual } from 'node:util';
import type { Config, Exception, Scope, ValueName } from './schema.js';

/** How many parts of the fleet a change affects. */
export interface AffectedCounts {
  readonly dataCentres: number;
  readonly pools: number;
  readonly services: number;
  readonly teams: number;
}

/**
 * One change; `before` is absent for an added value, `after` for a removed one. Both are absent for
 * a first configuration. A value is a default, an entry of a list, or what an exception sets with
 * its author, reason and end date.
 */
export interface ConfigChange {
  readonly kind: 'added' | 'removed' | 'changed';
  /**
   * Path of the value, such as `defaults.slots`, `pools.kiln` or `exceptions[team=bakers].weight`;
   * empty for a first configuration as a whole.
   */
  readonly path: string;
  readonly before?: unknown;
  readonly after?: unknown;
  /** The parts that the change affects, counted in the new configuration. */
  readonly touched: AffectedCounts;
}

const LISTS = ['dataCentres', 'pools', 'services', 'teams'] as const;

/** Counts all parts of a fleet. */
function countAll(config: Config): AffectedCounts {
  const { dataCentres, pools, services, teams } = config;
  return {
    dataCentres: dataCentres.length,
    pools: pools.length,
    services: services.length,
    teams: teams.length,
  };
}

/** Counts the parts that a scope covers: all of a kind, unless the scope names one of that kind. */
function countScope(config: Config, scope: Scope): AffectedCounts {
  const all = countAll(config);
  const services = config.services.filter(
    ({ name, pool }) =>
      (scope.service === undefined || scope.service === name) &&
      (scope.pool === undefined || scope.pool === pool),
  );
  return {
    dataCentres: scope.dataCentre === undefined ? all.dataCentres : 1,
    pools: scope.pool === undefined ? all.pools : 1,
    services: services.length,
    teams: scope.team === undefined ? all.teams : 1,
  };
}

/** Formats a scope with its parts in a fixed order; equal scopes give equal texts. */
export function formatScope(scope: Scope): string {
  return Object.entries(scope)
    .map(([part, name]) => `${part}=${typeof name === 'string' ? name : JSON.stringify(name)}`)
    .sort()
    .join(',');
}

/** Compares the values at a path; undefined means absent. */
function compareValues(
  path: string,
  before: unknown,
  after: unknown,
  touched: AffectedCounts,
): readonly ConfigChange[] {
  if (isDeepStrictEqual(before, after)) return [];
  if (before === undefined) return [{ kind: 'added', path, after, touched }];
  if (after === undefined) return [{ kind: 'removed', path, before, touched }];
  return [{ kind: 'changed', path, before, after, touched }];
}

/** Compares the entries of one list by name. */
function diffList(
  before: Config,
  after: Config,
  list: (typeof LISTS)[number],
): readonly ConfigChange[] {
  const noParts = { dataCentres: 0, pools: 0, services: 0, teams: 0 };
  const findEntry = (config: Config, name: string) =>
    config[list].find((entry) => entry.name === name);
  const names = new Set([...before[list], ...after[list]].map(({ name }) => name));
  return [...names].flatMap((name) =>
    compareValues(`${list}.${name}`, findEntry(before, name), findEntry(after, name), {
      ...noParts,
      [list]: 1,
    }),
  );
}

/**
 * Collects the values that the exceptions of one scope set, each with author, reason and end date.
 */
function listScopeValues(config: Config, key: string): ReadonlyMap<string, unknown> {
  const values = new Map<string, unknown>();
  config.exceptions
    .filter(({ scope }) => formatScope(scope) === key)
    .forEach(({ set, author, reason, until }: Exception) => {
      Object.entries(set).forEach(([name, value]) =>
        values.set(name, { value, author, reason, until }),
      );
    });
  return values;
}

/** Compares the exceptions of both configurations, value by value. */
function diffExceptions(before: Config, after: Config): readonly ConfigChange[] {
  const scopes = new Map(
    [...before.exceptions, ...after.exceptions].map(({ scope }) => [formatScope(scope), scope]),
  );
  return [...scopes].flatMap(([key, scope]) => {
    const valuesBefore = listScopeValues(before, key);
    const valuesAfter = listScopeValues(after, key);
    const names = new Set([...valuesBefore.keys(), ...valuesAfter.keys()]);
    const touched = countScope(after, scope);
    return [...names].flatMap((name) =>
      compareValues(
        `exceptions[${key}].${name}`,
        valuesBefore.get(name),
        valuesAfter.get(name),
        touched,
      ),
    );
  });
}

/**
 * Lists the changes from one configuration to another; empty when no value differs. An undefined
 * `before` means that there was none yet, and gives a single change.
 */
export function diffConfigs(before: Config | undefined, after: Config): readonly ConfigChange[] {
  if (before === undefined) return [{ kind: 'added', path: '', touched: countAll(after) }];
  const names = Object.keys(after.defaults) as ValueName[];
  const defaults = names.flatMap((name) =>
    compareValues(`defaults.${name}`, before.defaults[name], after.defaults[name], countAll(after)),
  );
  return [
    ...LISTS.flatMap((list) => diffList(before, after, list)),
    ...defaults,
    ...diffExceptions(before, after),
  ];
}
