/**
 * Compares two configurations: what was added, removed and changed, and how many data centres, pools,
 * services and teams each change touches.
 */
import { isDeepStrictEqual } from 'node:util';
import type { Config, Exception, Scope, ValueName } from './schema.js';

/** Numbers of parts of the fleet that a change touches. */
export interface Touched {
  readonly dataCentres: number;
  readonly pools: number;
  readonly services: number;
  readonly teams: number;
}

/** One change; values are plain data, and absent when added or removed. */
export interface ConfigChange {
  readonly kind: 'added' | 'removed' | 'changed';
  /** Such as `defaults.slots`, `pools.kiln` or `exceptions[team=bakers].weight`. */
  readonly path: string;
  readonly before?: unknown;
  readonly after?: unknown;
  readonly touched: Touched;
}

const LISTS = ['dataCentres', 'pools', 'services', 'teams'] as const;

/** Counts the parts of a fleet. */
function countAll(config: Config): Touched {
  const { dataCentres, pools, services, teams } = config;
  return {
    dataCentres: dataCentres.length,
    pools: pools.length,
    services: services.length,
    teams: teams.length,
  };
}

/** Counts what a scope covers: the named part alone, and all of each part that it leaves open. */
function countScope(config: Config, scope: Scope): Touched {
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

/** Formats a scope in a fixed order. */
export function formatScope(scope: Scope): string {
  return Object.entries(scope)
    .map(([part, name]) => `${part}=${typeof name === 'string' ? name : JSON.stringify(name)}`)
    .sort()
    .join(',');
}

/** Compares two values at a path; undefined stands for absent. */
function compareValues(
  path: string,
  before: unknown,
  after: unknown,
  touched: Touched,
): readonly ConfigChange[] {
  if (isDeepStrictEqual(before, after)) return [];
  if (before === undefined) return [{ kind: 'added', path, after, touched }];
  if (after === undefined) return [{ kind: 'removed', path, before, touched }];
  return [{ kind: 'changed', path, before, after, touched }];
}

/** Compares the named entries of one list. */
function diffList(a: Config, b: Config, list: (typeof LISTS)[number]): readonly ConfigChange[] {
  const none = { dataCentres: 0, pools: 0, services: 0, teams: 0 };
  const findEntry = (config: Config, name: string) =>
    config[list].find((entry) => entry.name === name);
  const names = new Set([...a[list], ...b[list]].map(({ name }) => name));
  return [...names].flatMap((name) =>
    compareValues(`${list}.${name}`, findEntry(a, name), findEntry(b, name), {
      ...none,
      [list]: 1,
    }),
  );
}

/** Collects what the exceptions of one scope set, with the signature of each. */
function listScopeValues(config: Config, key: string): ReadonlyMap<string, unknown> {
  const found = new Map<string, unknown>();
  config.exceptions
    .filter(({ scope }) => formatScope(scope) === key)
    .forEach(({ set, author, reason, until }: Exception) => {
      Object.entries(set).forEach(([name, value]) =>
        found.set(name, { value, author, reason, until }),
      );
    });
  return found;
}

/** Compares the exceptions of both configurations, value by value. */
function diffExceptions(a: Config, b: Config): readonly ConfigChange[] {
  const scopes = new Map(
    [...a.exceptions, ...b.exceptions].map(({ scope }) => [formatScope(scope), scope]),
  );
  return [...scopes].flatMap(([key, scope]) => {
    const before = listScopeValues(a, key);
    const after = listScopeValues(b, key);
    const names = new Set([...before.keys(), ...after.keys()]);
    const touched = countScope(b, scope);
    return [...names].flatMap((name) =>
      compareValues(`exceptions[${key}].${name}`, before.get(name), after.get(name), touched),
    );
  });
}

/** Lists what changes from one configuration to the next; undefined stands for none at all. */
export function diffConfigs(a: Config | undefined, b: Config): readonly ConfigChange[] {
  if (a === undefined) return [{ kind: 'added', path: '', touched: countAll(b) }];
  const names = Object.keys(b.defaults) as ValueName[];
  const defaults = names.flatMap((name) =>
    compareValues(`defaults.${name}`, a.defaults[name], b.defaults[name], countAll(b)),
  );
  return [...LISTS.flatMap((list) => diffList(a, b, list)), ...defaults, ...diffExceptions(a, b)];
}
