/**
 * Decides whether a task of a team may start in a pool. Load pattern: a team that sends several
 * times its usual, or whose limit was lowered below what runs. The planner starts tasks up to the
 * allotment that the holder of the fleet duty has sent. Without one, or beyond it, the team has the
 * pool's part of the tolerance on its limit, which needs no coordination, as the parts of all pools
 * add up to the tolerance. If the holder has divided a higher limit than the planner knows, as it
 * does not reach the store, each planner scales its part down.
 */
import { NO_RESOURCES } from '../jobs/free-capacity.js';
import { RESOURCE_NAMES } from '../placement/resources.js';
import type { Resources } from '../ports/workers.js';
import type { TeamShare } from './allotment-ledger.js';
import type { TeamDirectory } from './team-directory.js';

/** Where a planner learns about the teams. */
export interface TeamSources {
  /** Gets the teams of the configuration in force; undefined if it has none. */
  readonly getDirectory: () => TeamDirectory | undefined;
  readonly countPools: () => number;
  /** Share by which starts may bring a team above its limit. */
  readonly limitTolerance: number;
}

/** Allotments of a pool, in the order in which the holder sends them. */
export interface AllotMessage {
  /** Token of the holder's claim. */
  readonly token: number;
  /** Rises with each message of a holder. */
  readonly sequence: number;
  /** By team; a team that is missing has no allotment. */
  readonly shares: Readonly<Record<string, TeamShare>>;
}

/** Budget of the teams in one pool. */
export interface TeamBudget {
  /** Applies a message; returns false and changes nothing if a later one was applied before. */
  readonly apply: (message: AllotMessage) => boolean;
  /** Says whether a team, which uses `used` at most, may use `size` more. */
  readonly hasRoom: (team: string, used: Resources, size: Resources) => boolean;
  /** Gets the allotment in force; zero without one. */
  readonly getAllotment: (team: string) => Resources;
  /** Says whether the team could not run a task of this size even if it used nothing. */
  readonly isBeyondLimit: (team: string, size: Resources) => boolean;
  readonly listAllotted: () => readonly string[];
}

/** Creates the budget of a pool that has no allotments yet. */
export function createTeamBudget(sources: TeamSources): TeamBudget {
  let newest: AllotMessage | undefined;
  const findLimit = (team: string) => sources.getDirectory()?.teams.get(team)?.limit;
  const getAllotment = (team: string) => newest?.shares[team]?.allotment ?? NO_RESOURCES;
  const isNewer = ({ token, sequence }: AllotMessage) =>
    newest === undefined ||
    token > newest.token ||
    (token === newest.token && sequence > newest.sequence);
  return {
    apply: (message) => {
      if (!isNewer(message)) return false;
      newest = message;
      return true;
    },
    hasRoom: (team, used, size) => {
      const limit = findLimit(team);
      if (limit === undefined) return true;
      const allotment = getAllotment(team);
      const divided = newest?.shares[team]?.limit ?? limit;
      const floorShare = sources.limitTolerance / Math.max(1, sources.countPools());
      return RESOURCE_NAMES.every((name) => {
        if (limit[name] <= 0 || size[name] <= 0) return true;
        const scale = divided[name] > limit[name] ? limit[name] / divided[name] : 1;
        const allowed = Math.max(allotment[name] * scale, limit[name] * floorShare);
        return used[name] + size[name] <= allowed;
      });
    },
    getAllotment,
    isBeyondLimit: (team, size) => {
      const limit = findLimit(team);
      if (limit === undefined) return false;
      return RESOURCE_NAMES.some((name) => limit[name] > 0 && size[name] > limit[name]);
    },
    listAllotted: () => Object.keys(newest?.shares ?? {}),
  };
}
