/** Finds what is wrong with a draft of the configuration before it is published. */
import type { Resources } from '../ports/workers.js';
import { findRouteIssues } from './find-route-issues.js';
import { findTeamIssues } from './find-team-issues.js';
import type { ConfigIssue, FleetDraft } from './fleet-draft.js';

/** What is known besides the draft. */
export interface CheckContext {
  /** Version in force; undefined if it is not known. */
  readonly versionInForce: number | undefined;
  /** Largest task that teams run, for the check of their limits; undefined if it is not known. */
  readonly largestTask: Resources | undefined;
}

/** Finds the issues of pools, limits and the version. */
function findGeneralIssues(
  { config }: FleetDraft,
  { versionInForce }: CheckContext,
): readonly ConfigIssue[] {
  const issues: ConfigIssue[] = [];
  const addIssue = (kind: ConfigIssue['kind'], place: string, message: string) =>
    issues.push({ kind, place, message });
  if (versionInForce !== undefined && config.version <= versionInForce) {
    addIssue('invalid', 'version', `not above the version in force (${versionInForce})`);
  }
  config.pools.forEach(({ name, isStandby }, index) => {
    const place = `pools[${index}]`;
    if (config.pools.findIndex((other) => other.name === name) < index) {
      addIssue('invalid', `${place}.name`, `${JSON.stringify(name)} is the name of an earlier one`);
    }
    const hasRoute = config.routes.some(({ pool }) => pool === name);
    if (!hasRoute && !isStandby) addIssue('never-matches', place, 'no route leads to it');
    if (hasRoute && isStandby) {
      addIssue(
        'contradiction',
        `${place}.isStandby`,
        'routes lead to it, and its instances are off',
      );
    }
  });
  if (config.pools.filter(({ isStandby }) => isStandby).length > 1) {
    addIssue('contradiction', 'pools', 'only the first standby pool lends instances');
  }
  const { limits } = config;
  if (limits.headerTimeoutMs > limits.idleTimeoutMs) {
    addIssue('contradiction', 'limits.headerTimeoutMs', 'above the time limit of idle connections');
  }
  if (limits.maxBodyBytes <= 0) {
    addIssue('contradiction', 'limits.maxBodyBytes', 'no job can be submitted');
  }
  return issues;
}

/** Finds all issues of a draft, in the order of its parts. */
export function findConfigIssues(draft: FleetDraft, context: CheckContext): readonly ConfigIssue[] {
  return [
    ...findRouteIssues(draft),
    ...findTeamIssues(draft, context.largestTask),
    ...findGeneralIssues(draft, context),
  ];
}
