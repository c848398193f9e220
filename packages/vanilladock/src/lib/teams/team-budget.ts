/**
 * Decides whether a task of a team may start in a pool. Load pattern: a team that sends several
 * times its usual, or whose limit was lowered below what runs. The planner starts tasks up to the
 * allotment that the holder of the fleet duty has sent. Without one, or beyond it, the team has the
 * pool's part of the tolerance on its limit, which needs no coordination, as the parts of all pools
 * add up to the tolerance. If the holder has divided a higher limit than the planner knows, as it
 * does not reach the store, each planner scales its part down. A new holder first learns what is in
 * force, so what the one before allotted stays in force for a while until it allots anything; a new
 * planner goes on with what the one before it tells.
 */
import { z } from 'zod';
import { NO_RESOURCES } from '../jobs/free-capacity.js';
import { RESOURCE_NAMES, resourcesSchema } from '../placement/resources.js';
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
  /** By team; a team that this holder has never named keeps what it had, for a while. */
  readonly shares: Readonly<Record<string, TeamShare>>;
  /**
   * Number of the planner whose report they are based on; for another one they are not meant. Absent
   * in messages of earlier versions.
   */
  readonly planner?: number | undefined;
}

/** A team's share, as messages state it. */
export const teamShareSchema = z.object({
  allotment: resourcesSchema,
  limit: resourcesSchema,
  otherJobsPerSecond: z.number(),
});

/** Allotments that a planner which has stopped tells the next one. */
export interface ToldAllotments extends AllotMessage {
  /** Time in milliseconds for which they stay in force without a message of the holder. */
  readonly validMs: number;
}

/** Told allotments, as messages state them. */
export const toldAllotmentsSchema = z.object({
  token: z.number(),
  sequence: z.number(),
  shares: z.record(z.string(), teamShareSchema),
  validMs: z.number(),
});

/** Budget of the teams in one pool. */
export interface TeamBudget {
  /** Applies a message; returns false and changes nothing if a later one was applied before. */
  readonly apply: (message: AllotMessage, nowMs: number) => boolean;
  /** Applies what the planner before told at `atMs`, unless a later message was applied. */
  readonly applyTold: (told: ToldAllotments, atMs: number) => void;
  /** Makes what the next planner is told of these teams; undefined if nothing is in force. */
  readonly makeTold: (teams: ReadonlySet<string>, nowMs: number) => ToldAllotments | undefined;
  /** Drops the allotments of earlier holders that are no longer in force at `nowMs`. */
  readonly dropExpired: (nowMs: number) => void;
  /** Says whether a team, which uses `used` at most, may use `size` more. */
  readonly hasRoom: (team: string, used: Resources, size: Resources) => boolean;
  /** Gets the allotment in force; zero without one. */
  readonly getAllotment: (team: string) => Resources;
  /** Says whether the team could not run a task of this size even if it used nothing. */
  readonly isBeyondLimit: (team: string, size: Resources) => boolean;
  readonly listAllotted: () => readonly string[];
}

/**
 * Time for which an allotment stays in force without a message that names it, in milliseconds: that
 * of an earlier holder from the first message of the new one, that of an earlier planner from its
 * last message. A new holder counts a pool that never answers as using nothing after 6.7 s, and the
 * holder before it may send messages for up to 2.6 s of these.
 */
const KEPT_MS = 3_500;

/** Allotments of earlier holders, or of an earlier planner. */
interface KeptShares {
  readonly shares: AllotMessage['shares'];
  readonly untilMs: number;
}

/** Creates the budget of the planner with this number, which has no allotments yet. */
export function createTeamBudget(sources: TeamSources, planner: number): TeamBudget {
  let newest: AllotMessage | undefined;
  /** When the last message was applied. */
  let appliedMs = 0;
  let kept: KeptShares | undefined;
  const findLimit = (team: string) => sources.getDirectory()?.teams.get(team)?.limit;
  const findShare = (team: string) => newest?.shares[team] ?? kept?.shares[team];
  const getAllotment = (team: string) => findShare(team)?.allotment ?? NO_RESOURCES;
  const isNewer = ({ token, sequence }: AllotMessage) =>
    newest === undefined ||
    token > newest.token ||
    (token === newest.token && sequence > newest.sequence);
  const dropExpired = (nowMs: number) => {
    if (kept !== undefined && nowMs >= kept.untilMs) kept = undefined;
  };
  /** Keeps what is in force for a new holder; what an even earlier one allotted ends first. */
  const recordKept = (nowMs: number) => {
    const shares = { ...kept?.shares, ...newest?.shares };
    kept = { shares, untilMs: Math.min(kept?.untilMs ?? Infinity, nowMs + KEPT_MS) };
  };
  return {
    apply: (sent, nowMs) => {
      if (!isNewer(sent)) return false;
      // One to an earlier planner, which may be late, says nothing of what is in force now.
      const isMeant = sent.planner === undefined || sent.planner === planner;
      const message = isMeant ? sent : { ...sent, shares: {} };
      dropExpired(nowMs);
      if (newest !== undefined && message.token > newest.token) recordKept(nowMs);
      if (kept !== undefined) {
        const unnamed = Object.entries(kept.shares).filter(([team]) => !(team in message.shares));
        kept = unnamed.length > 0 ? { ...kept, shares: Object.fromEntries(unnamed) } : undefined;
      }
      newest = message;
      appliedMs = nowMs;
      return true;
    },
    applyTold: ({ token, sequence, shares, validMs }, atMs) => {
      const message = { token, sequence, shares: {} };
      if (!isNewer(message)) return;
      newest = message;
      kept = { shares, untilMs: atMs + validMs };
    },
    makeTold: (teams, nowMs) => {
      if (newest === undefined) return undefined;
      const validMs = Math.min(kept?.untilMs ?? Infinity, appliedMs + KEPT_MS) - nowMs;
      const all = Object.entries({ ...kept?.shares, ...newest.shares });
      const shares = Object.fromEntries(all.filter(([team]) => teams.has(team)));
      return validMs > 0 ? { ...newest, shares, validMs } : undefined;
    },
    dropExpired,
    hasRoom: (team, used, size) => {
      const limit = findLimit(team);
      if (limit === undefined) return true;
      const allotment = getAllotment(team);
      const divided = findShare(team)?.limit ?? limit;
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
    listAllotted: () => [
      ...new Set([...Object.keys(newest?.shares ?? {}), ...Object.keys(kept?.shares ?? {})]),
    ],
  };
}
