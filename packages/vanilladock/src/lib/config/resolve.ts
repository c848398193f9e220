/**
 * Resolves the effective values of a subject: the defaults, overridden by the matching exceptions
 * in order of specificity. Also explains which default or exception each value comes from.
 */
import type { Config, Exception, Scope, ValueName, Values } from './schema.js';

/**
 * What values are resolved for; parts that are unknown or do not apply are absent. An exception
 * whose scope names an absent part does not match.
 */
export interface Subject {
  readonly dataCentre?: string;
  readonly pool?: string;
  readonly service?: string;
  readonly team?: string;
  readonly attributes?: Readonly<Record<string, string>>;
}

/** Where a value comes from; `index` is the position in the list of exceptions, from 0. */
export type Origin =
  | { readonly kind: 'default' }
  | { readonly kind: 'exception'; readonly index: number; readonly exception: Exception };

/** One value and its origin. */
export interface ExplainedValue {
  readonly name: ValueName;
  readonly value: Values[ValueName];
  readonly origin: Origin;
}

/** Rank of each part of a scope; a part outranks all parts before it together. */
const SCOPE_RANK = { dataCentre: 1, pool: 2, service: 4, team: 8, attributes: 16 } as const;

/** Computes the rank of a scope; a higher rank is more specific. */
function computeRank(scope: Scope): number {
  return Object.keys(scope).reduce(
    (sum, key) => sum + SCOPE_RANK[key as keyof typeof SCOPE_RANK],
    0,
  );
}

/** Says whether a scope covers a subject. */
function isCovering(scope: Scope, subject: Subject): boolean {
  const parts = ['dataCentre', 'pool', 'service', 'team'] as const;
  const namesMatch = parts.every(
    (part) => scope[part] === undefined || scope[part] === subject[part],
  );
  const required = Object.entries(scope.attributes ?? {});
  return namesMatch && required.every(([key, value]) => subject.attributes?.[key] === value);
}

/** Says whether an exception is still in force at a date, in milliseconds since 1970 (UTC). */
export function isInForce(exception: Exception, nowMs: number): boolean {
  if (exception.until === undefined) return true;
  return new Date(nowMs).toISOString().slice(0, 10) <= exception.until;
}

/** Lists the exceptions in force that cover a subject, the most specific last. */
function listMatches(config: Config, subject: Subject, nowMs: number): readonly Origin[] {
  return config.exceptions
    .map((exception, index) => ({ kind: 'exception', exception, index }) as const)
    .filter(({ exception }) => isInForce(exception, nowMs) && isCovering(exception.scope, subject))
    .sort(
      (a, b) =>
        computeRank(a.exception.scope) - computeRank(b.exception.scope) || a.index - b.index,
    );
}

/**
 * Resolves the effective values of a subject at a date, in milliseconds since 1970. Of equally
 * specific exceptions the later in the list wins. A name that the configuration does not list is no
 * error.
 */
export function resolveValues(config: Config, subject: Subject, nowMs: number): Values {
  const sets = listMatches(config, subject, nowMs).map((origin) =>
    origin.kind === 'exception' ? origin.exception.set : {},
  );
  return Object.assign({}, config.defaults, ...sets) as Values;
}

/**
 * Explains every effective value of a subject at a date, in milliseconds since 1970; the values are
 * those of `resolveValues`.
 */
export function explainValues(
  config: Config,
  subject: Subject,
  nowMs: number,
): readonly ExplainedValue[] {
  const matches = listMatches(config, subject, nowMs);
  const values = resolveValues(config, subject, nowMs);
  return (Object.keys(values) as ValueName[]).map((name) => {
    const origin = matches.findLast(
      (match) => match.kind === 'exception' && match.exception.set[name] !== undefined,
    );
    return { name, value: values[name], origin: origin ?? { kind: 'default' } };
  });
}
