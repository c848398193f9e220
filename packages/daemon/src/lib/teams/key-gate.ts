/** Checks the keys of calls against the configuration that this instance follows. */
import type { FleetConfig, RouteConfig } from 'vanilladock/lib/ports/fleet.js';
import type { ConfigFreshness } from 'vanilladock/lib/teams/config-freshness.js';
import {
  checkKey,
  isTooOld,
  type KeyBounds,
  type KeyDecision,
  type PresentedKey,
} from 'vanilladock/lib/teams/key-check.js';
import { makeKeyLabel } from 'vanilladock/lib/teams/team-directory.js';
import { readMoment } from '../jobs/clock.js';
import type { JsonLog } from '../json-log.js';

/** Dependencies of the gate. */
export interface KeyGateOptions {
  readonly getConfig: () => FleetConfig | undefined;
  readonly freshness: Pick<ConfigFreshness, 'getAgeMs'>;
  readonly bounds: KeyBounds;
  readonly log: JsonLog;
}

/** Gate of one instance. */
export interface KeyGate {
  /**
   * Decides on a call on a route now; `attemptMs` is how long one attempt of it may take. Logs a
   * call that may not run.
   */
  readonly check: (route: RouteConfig, presented: PresentedKey, attemptMs: number) => KeyDecision;
  /** Says whether a call with a good key that takes up to `attemptMs` would be let through now. */
  readonly isServing: (attemptMs: number) => boolean;
}

/** Creates the gate of an instance. */
export function createKeyGate(options: KeyGateOptions): KeyGate {
  const { getConfig, freshness, bounds, log } = options;
  const logRefusal = (
    decision: KeyDecision,
    route: RouteConfig,
    presented: PresentedKey,
    configAgeMs: number,
  ) => {
    if (decision.kind === 'open' || decision.kind === 'member') return;
    log.info({
      event: 'key-refused',
      route: route.name,
      key: presented.kind === 'key' ? makeKeyLabel(presented.key) : undefined,
      outcome: decision.kind,
      why: decision.kind === 'refused' ? decision.why : 'config-too-old',
      detail: presented.kind === 'malformed' ? presented.why : undefined,
      configVersion: getConfig()?.version,
      configAgeMs: Math.round(configAgeMs),
    });
  };
  return {
    check: (route, presented, attemptMs) => {
      const configAgeMs = freshness.getAgeMs(readMoment());
      const decision = checkKey({
        isPublic: route.isPublic ?? false,
        directory: getConfig()?.teams,
        presented,
        configAgeMs,
        attemptMs,
        bounds,
      });
      logRefusal(decision, route, presented, configAgeMs);
      return decision;
    },
    isServing: (attemptMs) =>
      getConfig()?.teams === undefined ||
      !isTooOld(freshness.getAgeMs(readMoment()), attemptMs, bounds),
  };
}
