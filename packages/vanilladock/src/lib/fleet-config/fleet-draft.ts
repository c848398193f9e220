/** A configuration that an operator means to publish, with the keys that calls will carry. */
import type { FleetConfig } from '../ports/fleet.js';
import type { TeamKeys } from '../teams/team-directory.js';

/** A draft. */
export interface FleetDraft {
  readonly config: FleetConfig;
  /** Teams in the order of the draft; undefined if it has no list of teams. */
  readonly teams: readonly TeamKeys[] | undefined;
}

/**
 * Kind of an issue. `invalid`: the system cannot use the entry. `never-matches`: no call, job or
 * instance can ever use it. `contradiction`: limits that cannot all be kept, or that leave nothing.
 */
export type ConfigIssueKind = 'invalid' | 'never-matches' | 'contradiction';

/** An issue of a draft. */
export interface ConfigIssue {
  readonly kind: ConfigIssueKind;
  /** Place in the draft by the names of `FleetConfig`, such as `routes[2].host`. */
  readonly place: string;
  readonly message: string;
}
