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
  if (!route.pathPrefix.startsWith('/')) addIssue('path_prefix', 'must begin with /');
  if (/[?#\s]/.test(route.pathPrefix)) addIssue('path_prefix', 'no path contains ?, # or a space');
  const twin = draft.config.routes.findIndex(
    (other, position) =>
      position > index && other.host === route.host && other.pathPrefix === route.pathPrefix,
  );
  if (twin >= 0) {
    addIssue('path_prefix', `routes[${twin}] has the same host and prefix and takes its calls`);
  }
  if (!draft.config.pools.some(({ name }) => name === route.pool)) {
    addIssue('service', `there is no service ${JSON.stringify(route.pool)}`);
  }
  const isKeyed = draft.teams !== undefined && route.isPublic !== true;
  if (isKeyed && !draft.teams.some(({ keys }) => keys.length > 0)) {
    addIssue('public', 'no team has a key, and the route is not public');
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
  if (timeoutMs <= 0) addIssue('timeout_ms', 'no call can be answered in this time');
  if (policy.targetLatencyMs > timeoutMs) {
    addIssue('target_latency_ms', `above timeout_ms (${timeoutMs})`);
  }
  if (policy.maxAttempts < 1) addIssue('max_attempts', 'jobs fail before their first attempt');
  if (policy.stretch < 1) addIssue('stretch', 'below 1: jobs are late even on idle workers');
  if (advice !== undefined && advice.validMs <= advice.decideMs) {
    addIssue('advice.valid_ms', `tickets expire before they arrive (decide_ms ${advice.decideMs})`);
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
