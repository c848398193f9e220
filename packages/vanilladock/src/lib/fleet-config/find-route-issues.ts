/** Finds routes that can never match or serve a call, and limits on routes that contradict each other. */
import type { RouteConfig } from '../ports/fleet.js';
import type { ConfigIssue, FleetDraft } from './fleet-draft.js';

/** Makes the place of a field of the route at an index. */
function makePlace(index: number, field: string): string {
  return `routes[${index}].${field}`;
}

/** Finds what keeps the route from ever matching a call. */
function findMismatches(route: RouteConfig, index: number, draft: FleetDraft): ConfigIssue[] {
  const issues: ConfigIssue[] = [];
  const addIssue = (field: string, message: string) =>
    issues.push({ kind: 'never-matches', place: makePlace(index, field), message });
  if (route.host === '') addIssue('host', 'empty; calls always name a host');
  if (route.host.includes(':')) addIssue('host', 'contains a port; hosts are matched without it');
  if (/[\s/]/.test(route.host)) addIssue('host', 'contains a character that no host has');
  if (!route.pathPrefix.startsWith('/')) addIssue('pathPrefix', 'must begin with /');
  if (/[?#\s]/.test(route.pathPrefix)) addIssue('pathPrefix', 'no path contains ?, # or a space');
  const twin = draft.config.routes.findIndex(
    (other, position) =>
      position > index && other.host === route.host && other.pathPrefix === route.pathPrefix,
  );
  if (twin >= 0) {
    addIssue('pathPrefix', `routes[${twin}] has the same host and prefix and takes its calls`);
  }
  if (!draft.config.pools.some(({ name }) => name === route.pool)) {
    addIssue('pool', `there is no ${JSON.stringify(route.pool)}`);
  }
  const isKeyed = draft.teams !== undefined && route.isPublic !== true;
  if (isKeyed && !draft.teams.some(({ keys }) => keys.length > 0)) {
    addIssue('isPublic', 'no team has a key, and the route is not public');
  }
  return issues;
}

/** Finds limits of the route that contradict each other. */
function findContradictions(route: RouteConfig, index: number): ConfigIssue[] {
  const { policy, timeoutMs } = route;
  const { advice } = policy;
  const issues: ConfigIssue[] = [];
  const addIssue = (field: string, message: string) =>
    issues.push({ kind: 'contradiction', place: makePlace(index, field), message });
  if (timeoutMs <= 0) addIssue('timeoutMs', 'no call can be answered in this time');
  if (policy.targetLatencyMs > timeoutMs) {
    addIssue('policy.targetLatencyMs', `above the time limit of a call (${timeoutMs} ms)`);
  }
  if (policy.maxAttempts < 1)
    addIssue('policy.maxAttempts', 'jobs fail before their first attempt');
  if (policy.stretch < 1) addIssue('policy.stretch', 'below 1: jobs are late even on idle workers');
  if (advice !== undefined && advice.validMs <= advice.decideMs) {
    addIssue(
      'policy.advice.validMs',
      `tickets expire before they arrive, which takes ${advice.decideMs} ms`,
    );
  }
  return issues;
}

/** Finds the issues of all routes. */
export function findRouteIssues(draft: FleetDraft): readonly ConfigIssue[] {
  const { routes } = draft.config;
  const issues = routes.flatMap((route, index): readonly ConfigIssue[] => {
    const isRepeated = routes.findIndex(({ name }) => name === route.name) < index;
    const repeated: ConfigIssue = {
      kind: 'invalid',
      place: makePlace(index, 'name'),
      message: `${JSON.stringify(route.name)} is the name of an earlier route`,
    };
    return [
      ...(isRepeated ? [repeated] : []),
      ...findMismatches(route, index, draft),
      ...findContradictions(route, index),
    ];
  });
  return issues;
}
