/**
 * Decides whether a call may run by its key. Load pattern: keys are taken away while the store turns
 * some instances away; a key that was taken away must stop working there too, and a good key must
 * not be refused elsewhere. An instance honours a key only while it can show that its configuration
 * was the newest recently enough for the call to take effect within the bound.
 */
import { CLOCK_DRIFT } from '../jobs/lease-clock.js';
import type { TeamConfig, TeamDirectory } from './team-directory.js';

/** Key that a call carries. */
export type PresentedKey =
  | { readonly kind: 'none' }
  | { readonly kind: 'malformed'; readonly why: string }
  | { readonly kind: 'key'; readonly key: string };

/** Bounds on the use of keys, in milliseconds. */
export interface KeyBounds {
  /** Time within which a key that was taken away stops working; undefined if none is demanded. */
  readonly revocationMs: number | undefined;
  /** Time within which an added key works. */
  readonly applyMs: number;
}

/** Inputs of the decision on one call. */
export interface KeyCheckInputs {
  /** Whether the call's route needs no key. */
  readonly isPublic: boolean;
  /** Undefined if the configuration has no teams. */
  readonly directory: TeamDirectory | undefined;
  readonly presented: PresentedKey;
  /** Age of the configuration. */
  readonly configAgeMs: number;
  /** How long one attempt of the call may take. */
  readonly attemptMs: number;
  readonly bounds: KeyBounds;
}

/** Decision on a call; `stale`: the configuration is too old to tell. */
export type KeyDecision =
  /** The call needs no key. */
  | { readonly kind: 'open' }
  | {
      readonly kind: 'member';
      readonly team: TeamConfig;
      /** Time within which the call has to take effect; infinite without a bound. */
      readonly remainingMs: number;
    }
  | { readonly kind: 'refused'; readonly why: 'no-key' | 'malformed-key' | 'unknown-key' }
  | { readonly kind: 'stale' };

/** Computes what is left of a bound at an age that was measured by a clock that may be slow. */
function computeRemainingMs(boundMs: number, ageMs: number): number {
  return boundMs * (1 - CLOCK_DRIFT) - ageMs;
}

/** Says whether the configuration is too old for an attempt of a call with a key. */
export function isTooOld(configAgeMs: number, attemptMs: number, { revocationMs }: KeyBounds) {
  return revocationMs !== undefined && computeRemainingMs(revocationMs, configAgeMs) < attemptMs;
}

/** Decides on a call. */
export function checkKey(inputs: KeyCheckInputs): KeyDecision {
  const { isPublic, directory, presented, configAgeMs, attemptMs, bounds } = inputs;
  if (isPublic || directory === undefined) return { kind: 'open' };
  if (presented.kind === 'none') return { kind: 'refused', why: 'no-key' };
  if (presented.kind === 'malformed') return { kind: 'refused', why: 'malformed-key' };
  const team = directory.findByKey(presented.key);
  if (team === undefined) {
    // The key may have been added since the configuration was confirmed.
    return computeRemainingMs(bounds.applyMs, configAgeMs) < 0
      ? { kind: 'stale' }
      : { kind: 'refused', why: 'unknown-key' };
  }
  if (isTooOld(configAgeMs, attemptMs, bounds)) return { kind: 'stale' };
  const { revocationMs } = bounds;
  const remainingMs =
    revocationMs === undefined ? Infinity : computeRemainingMs(revocationMs, configAgeMs);
  return { kind: 'member', team, remainingMs };
}
