/**
 * Semantic checks of a configuration that its schema cannot express, such as dangling references,
 * duplicate names and conflicting exceptions. `checkConfig` does not depend on the date, so every
 * reader of the log comes to the same result.
 */
import { isDeepStrictEqual } from 'node:util';
import type { Config, Exception, Scope, ValueName } from './schema.js';

/** A validation fault and the path of the part at fault. */
export interface CheckFault {
  /** Keys and list indices from the root of the configuration. */
  readonly path: readonly PropertyKey[];
  /** What is wrong and what to write instead. */
  readonly message: string;
}

interface Named {
  readonly name: string;
}

const NAMED_LISTS = ['dataCentres', 'pools', 'services', 'teams'] as const;
const SCOPE_LISTS = {
  dataCentre: 'dataCentres',
  pool: 'pools',
  service: 'services',
  team: 'teams',
} as const;
const MAX_LISTED_NAMES = 5;

/** Formats the names to choose from, at most a few of them. */
function formatNames(list: readonly Named[]): string {
  const names = list.map(({ name }) => name);
  const shown = names.slice(0, MAX_LISTED_NAMES).join(', ');
  return names.length > MAX_LISTED_NAMES ? `${shown} or another listed name` : shown;
}

/** Lists the names that occur more than once in a list. */
function listDuplicates(config: Config): readonly CheckFault[] {
  return NAMED_LISTS.flatMap((list) => {
    const seen = new Set<string>();
    return config[list].flatMap(({ name }, index) => {
      const isRepeated = seen.has(name);
      seen.add(name);
      if (!isRepeated) return [];
      const message = `the name ${name} is already in ${list}; remove one or rename it`;
      return [{ path: [list, index, 'name'], message }];
    });
  });
}

/** Lists the services whose pool does not exist. */
function listDanglingServices(config: Config): readonly CheckFault[] {
  const pools = new Set(config.pools.map(({ name }) => name));
  return config.services.flatMap(({ name, pool }, index) => {
    if (pools.has(pool)) return [];
    const advice = `write one of ${formatNames(config.pools)}, or add the pool`;
    const message = `service ${name} names pool ${pool}, which does not exist; ${advice}`;
    return [{ path: ['services', index, 'pool'], message }];
  });
}

/** Lists the exception scopes that name a missing data centre, pool, service or team. */
function listDanglingScopes(config: Config): readonly CheckFault[] {
  return config.exceptions.flatMap(({ scope }, index) =>
    (Object.keys(SCOPE_LISTS) as (keyof typeof SCOPE_LISTS)[]).flatMap((part) => {
      const name = scope[part];
      const list = config[SCOPE_LISTS[part]];
      if (name === undefined || list.some((entry) => entry.name === name)) return [];
      const advice = `write one of ${formatNames(list)}, or remove the exception`;
      const message = `there is no ${part} ${name}; ${advice}`;
      return [{ path: ['exceptions', index, 'scope', part], message }];
    }),
  );
}

/** Says whether two scopes are equal, and so cover the same subjects. */
function isSameScope(a: Scope, b: Scope): boolean {
  return isDeepStrictEqual(a, b);
}

/** Lists the values that two exceptions set differently. */
function listDisagreements(a: Exception, b: Exception): readonly ValueName[] {
  return (Object.keys(b.set) as ValueName[]).filter(
    (name) => a.set[name] !== undefined && !isDeepStrictEqual(a.set[name], b.set[name]),
  );
}

/** Lists the exceptions that conflict with an earlier one of the same scope. */
function listConflicts(config: Config): readonly CheckFault[] {
  return config.exceptions.flatMap((exception, index) =>
    config.exceptions.slice(0, index).flatMap((earlier, earlierIndex) => {
      if (!isSameScope(earlier.scope, exception.scope)) return [];
      return listDisagreements(earlier, exception).map((name) => ({
        path: ['exceptions', index, 'set', name],
        message:
          `exception ${earlierIndex + 1} of the same scope, by ${earlier.author}, sets ${name} to ` +
          `${JSON.stringify(earlier.set[name])}; keep one of the two`,
      }));
    }),
  );
}

/** Lists the spare pools beyond the first. */
function listExtraSpares(config: Config): readonly CheckFault[] {
  const first = config.pools.findIndex(({ spare }) => spare === true);
  return config.pools.flatMap(({ spare, name }, index) => {
    if (spare !== true || index === first) return [];
    const message = `pool ${name} is a second spare pool; keep spare: true on one pool only`;
    return [{ path: ['pools', index, 'spare'], message }];
  });
}

/** Lists the maintenance windows of zero length and the attribute scopes without attributes. */
function listEmpty(config: Config): readonly CheckFault[] {
  const sets = [
    { path: ['defaults'], set: config.defaults },
    ...config.exceptions.map(({ set }, index) => ({ path: ['exceptions', index, 'set'], set })),
  ];
  const hours = sets.flatMap(({ path, set }) => {
    const [from, to] = set.maintenanceHours ?? [0, 24];
    if (from !== to) return [];
    const message = `the window from ${from} to ${to} is empty; write two different hours`;
    return [{ path: [...path, 'maintenanceHours'], message }];
  });
  const attributes = config.exceptions.flatMap(({ scope }, index) => {
    if (scope.attributes === undefined || Object.keys(scope.attributes).length > 0) return [];
    const message = 'no attribute is named; write one, such as generation: b, or leave this out';
    return [{ path: ['exceptions', index, 'scope', 'attributes'], message }];
  });
  return [...hours, ...attributes];
}

/**
 * Lists the faults of a configuration that its schema accepts; empty when it may be published.
 */
export function checkConfig(config: Config): readonly CheckFault[] {
  return [
    ...listDuplicates(config),
    ...listExtraSpares(config),
    ...listDanglingServices(config),
    ...listDanglingScopes(config),
    ...listConflicts(config),
    ...listEmpty(config),
  ];
}

/**
 * Lists the exceptions that have expired at a date, in milliseconds since 1970; they are allowed.
 * An exception is in force up to and including its end date in UTC.
 */
export function checkDates(config: Config, nowMs: number): readonly CheckFault[] {
  const today = new Date(nowMs).toISOString().slice(0, 10);
  return config.exceptions.flatMap(({ until }, index) => {
    if (until === undefined || until >= today) return [];
    const message = `the end date ${until} has passed, so the exception has no effect; remove it or write a later date`;
    return [{ path: ['exceptions', index, 'until'], message }];
  });
}
