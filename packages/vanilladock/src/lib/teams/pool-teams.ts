/**
 * The teams as the planner of one pool sees them: what they use, what they may use, and which of
 * their jobs are beyond their rate.
 */
import { addResources, computeMultiple } from '../placement/resources.js';
import type { Resources } from '../ports/workers.js';
import { computeMaximum, computeMinimum, NO_RESOURCES } from '../jobs/free-capacity.js';
import type { Inheritance } from '../jobs/inheritance.js';
import type { DecisionEvent } from '../jobs/pool-context.js';
import type { Job } from '../jobs/state.js';
import type { TaskTable } from '../jobs/task-table.js';
import { listStartableSteps } from '../jobs/waiting-tasks.js';
import type { PoolReport, TeamReport } from './allotment-ledger.js';
import { createRateShares } from './rate-shares.js';
import { createCeilingKeeper, type CeilingNeed, type TeamCeilings } from './team-ceilings.js';
import { sumWaiting } from './sum-waiting.js';
import {
  createTeamBudget,
  type AllotMessage,
  type TeamSources,
  type ToldAllotments,
} from './team-budget.js';

/** Dependencies of the teams of a pool. */
export interface PoolTeamOptions {
  readonly table: TaskTable;
  readonly sources: TeamSources;
  /** What may run of inherited jobs that no report has shown yet. */
  readonly inheritance: Pick<
    Inheritance,
    'isUncertain' | 'countUnseen' | 'mayPredecessorOrder' | 'listUnreported' | 'getTeamUse'
  >;
  /** What the teams could use at most by the orders of earlier planners. */
  readonly inheritedCeilings: TeamCeilings;
  /** Number of the planner, which none before it in the pool has. */
  readonly planner: number;
  readonly report: (event: DecisionEvent) => void;
}

/** What a submission's team is entitled to. */
export type Entitlement =
  | { readonly kind: 'within-rate' }
  /** Beyond the rate; `retryAfterMs` is the time until the team is within it again. */
  | { readonly kind: 'excess'; readonly retryAfterMs: number }
  /** A task of the job needs more than the team may ever use. */
  | { readonly kind: 'beyond-limit' };

/** Figures of a team in a pool for the metrics. */
export interface TeamFigures {
  readonly team: string;
  /** What may run unseen counts too. */
  readonly usedCores: number;
  readonly allottedCores: number;
  /** Whether its limit has held back the last start that was tried. */
  readonly isLimited: boolean;
}

/** The teams in one pool. Jobs without a team have no limit and no rate. */
export interface PoolTeams {
  /** Decides on a submission and counts it. */
  readonly classifyJob: (
    team: string | undefined,
    sizes: readonly Resources[],
    nowMs: number,
  ) => Entitlement;
  /** Records that a job within its team's rate was refused; a later attempt counts anew. */
  readonly observeRefusal: (team: string) => void;
  /** Says whether the team of a job may use `size` more now. */
  readonly hasRoom: (job: Job, size: Resources) => boolean;
  /** Says whether all waiting tasks of a job are held back by the limit of its team. */
  readonly isHeldBack: (job: Job) => boolean;
  /** Applies a message of the holder of the fleet duty; returns the reports on the teams. */
  readonly applyMessage: (message: AllotMessage, nowMs: number) => PoolReport;
  /** Applies the allotments that the planner before told at the monotonic time `atMs`. */
  readonly applyTold: (told: ToldAllotments, atMs: number) => void;
  /** Makes what the next planner is told of the allotments of teams with jobs in the pool. */
  readonly makeTold: (nowMs: number) => ToldAllotments | undefined;
  /** Plans which ceilings to store now; undefined if those that are stored will do. */
  readonly planCeilings: (nowMs: number, isWrittenAnyway: boolean) => TeamCeilings | undefined;
  /** Records whether the write of the ceilings planned last was stored. */
  readonly observeCeilingsWrite: (isStored: boolean) => void;
  /** Lists the figures of the teams that use or were allotted anything. */
  readonly listFigures: () => readonly TeamFigures[];
  /** Estimates anew what may run unseen; to be called before each plan. */
  readonly refresh: (nowMs: number) => void;
}

/** A team at its limit is held back and released with each task that ends. */
const LOG_INTERVAL_MS = 1_000;

/** Minimum time between two estimates of what may run unseen. */
const ESTIMATE_INTERVAL_MS = 100;

/** Minimum time between two looks at the ceilings while no allotment changes. */
const CEILINGS_INTERVAL_MS = 250;

/** Creates the teams of a pool. */
export function createPoolTeams(options: PoolTeamOptions): PoolTeams {
  const { table, sources, inheritance, inheritedCeilings, planner, report } = options;
  const budget = createTeamBudget(sources, planner);
  const ceilings = createCeilingKeeper(inheritedCeilings);
  const rates = createRateShares();
  /** Teams of which a start was held back at the last look, for the log. */
  const limited = new Set<string>();
  /** What may run unseen, by team. */
  let unseen: ReadonlyMap<string, Resources> = new Map();
  let estimatedMs = -Infinity;
  /** When ceilings are looked at again, unless allotments change before. */
  let nextCeilingsMs = -Infinity;
  /** Time of the present plan. */
  let plannedMs = 0;
  /** When each team's limit was last logged. */
  const loggedMs = new Map<string, number>();

  /**
   * Lists for each worker that has not reported what runs of a team that an earlier planner has left
   * may use there unseen: what that one has told, or else the capacity.
   */
  const listUnreported = (): readonly ((team: string) => Resources)[] => {
    const largest = [...table.workers.values()]
      .map(({ entry }) => entry.capacity)
      .reduce(computeMaximum, NO_RESOURCES);
    return inheritance.listUnreported().map(({ id }) => {
      const told = inheritance.getTeamUse(id);
      const capacity = table.workers.get(id)?.largestCapacity ?? largest;
      return (team) => (told === undefined ? capacity : (told[team] ?? NO_RESOURCES));
    });
  };
  const getUsed = (team: string): Resources => {
    const used = table.teamUsage.get(team);
    const hidden = unseen.get(team);
    return hidden === undefined ? used : addResources(used, hidden);
  };
  /** Says whether any inherited task may run on a worker that has not reported. */
  const isAnyUnseen = (nowMs: number) =>
    inheritance.isUncertain(nowMs) || inheritance.countUnseen(nowMs) > 0;
  /** Estimates what may run unseen, by team; no more than the ceiling of the earlier planners. */
  const estimateUnseen = (nowMs: number) => {
    if (!isAnyUnseen(nowMs)) {
      unseen = new Map();
      return;
    }
    if (nowMs - estimatedMs < ESTIMATE_INTERVAL_MS) return;
    estimatedMs = nowMs;
    const inherited = [...table.activeJobs.values()].filter((job) => job.isInherited);
    const unreported = inheritance.mayPredecessorOrder(nowMs) ? undefined : listUnreported();
    unseen = new Map(
      [...sumWaiting(inherited)].map(([team, { sum }]) => {
        const onWorkers = unreported
          ?.map((estimate) => estimate(team))
          .reduce(addResources, NO_RESOURCES);
        const most = computeMinimum(sum, { ...sum, ...inheritedCeilings[team] });
        return [team, onWorkers === undefined ? most : computeMinimum(most, onWorkers)];
      }),
    );
  };
  /** Lists what the teams with a limit need that have a ceiling, an allotment, or use anything. */
  const listNeeds = (): ReadonlyMap<string, CeilingNeed> => {
    const floorShare = sources.limitTolerance / Math.max(1, sources.countPools());
    const directory = sources.getDirectory();
    const names = [
      ...ceilings.listTeams(),
      ...table.teamUsage.listTeams(),
      ...unseen.keys(),
      ...budget.listAllotted(),
    ];
    return new Map(
      [...new Set(names)].flatMap((team): readonly [string, CeilingNeed][] => {
        const limit = directory?.teams.get(team)?.limit;
        if (limit === undefined) return [];
        const least = computeMaximum(computeMultiple(limit, floorShare), getUsed(team));
        return [[team, { limit, need: computeMaximum(least, budget.getAllotment(team)) }]];
      }),
    );
  };
  /** Logs that the limit holds a team back, and when it no longer does, at most once in a while. */
  const logLimit = (team: string, isLimited: boolean, size: Resources) => {
    if (limited.has(team) === isLimited) return;
    if (isLimited) limited.add(team);
    else limited.delete(team);
    if (plannedMs - (loggedMs.get(team) ?? -Infinity) < LOG_INTERVAL_MS) return;
    loggedMs.set(team, plannedMs);
    report({
      event: isLimited ? 'team-limited' : 'team-released',
      team,
      used: getUsed(team),
      allotment: budget.getAllotment(team),
      limit: sources.getDirectory()?.teams.get(team)?.limit,
      size,
    });
  };
  const hasTeamRoom = (team: string | undefined, size: Resources) => {
    if (team === undefined) return true;
    const used = getUsed(team);
    return budget.hasRoom(team, used, size) && ceilings.hasRoom(team, used, size);
  };
  const listReports = (nowMs: number): Readonly<Record<string, TeamReport>> => {
    const inRate = rates.list(nowMs);
    const waiting = sumWaiting(table.activeJobs.values());
    const { teamUsage } = table;
    const names = [
      ...teamUsage.listTeams(),
      ...waiting.keys(),
      ...unseen.keys(),
      ...inRate.keys(),
      ...budget.listAllotted(),
    ];
    return Object.fromEntries(
      [...new Set(names)].map((team) => {
        const used = getUsed(team);
        const own = waiting.get(team);
        const teamReport: TeamReport = {
          used,
          wanted: addResources(used, own?.sum ?? NO_RESOURCES),
          unit: own?.unit ?? NO_RESOURCES,
          held: budget.getAllotment(team),
          oldestWaitMs: own === undefined ? 0 : Math.max(0, nowMs - own.sinceMs),
          jobsPerSecond: inRate.get(team) ?? 0,
        };
        return [team, teamReport];
      }),
    );
  };
  return {
    classifyJob: (team, sizes, nowMs) => {
      const config = team === undefined ? undefined : sources.getDirectory()?.teams.get(team);
      if (team === undefined || config === undefined) return { kind: 'within-rate' };
      if (sizes.some((size) => budget.isBeyondLimit(team, size))) return { kind: 'beyond-limit' };
      const retryAfterMs = rates.take(team, config.jobsPerSecond, nowMs);
      return retryAfterMs === undefined
        ? { kind: 'within-rate' }
        : { kind: 'excess', retryAfterMs };
    },
    observeRefusal: rates.release,
    hasRoom: ({ record: { team } }, size) => {
      const isFree = hasTeamRoom(team, size);
      if (team !== undefined) logLimit(team, !isFree, size);
      return isFree;
    },
    isHeldBack: (job) =>
      job.record.team !== undefined &&
      listStartableSteps(job).every(({ step }) => !hasTeamRoom(job.record.team, step.size)),
    applyMessage: (message, nowMs) => {
      budget.dropExpired(nowMs);
      estimateUnseen(nowMs);
      const others = Object.entries(message.shares).map(
        ([team, { otherJobsPerSecond }]) => [team, otherJobsPerSecond] as const,
      );
      // The first messages of a holder name no team.
      const isApplied = budget.apply(message, nowMs);
      if (isApplied) nextCeilingsMs = nowMs;
      if (isApplied && others.length > 0) {
        rates.setOthers(new Map(others), Math.max(0, sources.countPools() - 1));
      }
      return { teams: listReports(nowMs), isSettled: !isAnyUnseen(nowMs), planner };
    },
    applyTold: (told, atMs) => {
      budget.applyTold(told, atMs);
      nextCeilingsMs = atMs;
    },
    makeTold: (nowMs) => {
      const teams = [...table.activeJobs.values()].flatMap(({ record }) => record.team ?? []);
      return budget.makeTold(new Set(teams), nowMs);
    },
    planCeilings: (nowMs, isWrittenAnyway) => {
      if (nowMs < nextCeilingsMs && !isWrittenAnyway) return undefined;
      nextCeilingsMs = nowMs + CEILINGS_INTERVAL_MS;
      return ceilings.plan(listNeeds(), nowMs, isWrittenAnyway);
    },
    observeCeilingsWrite: ceilings.observeWrite,
    listFigures: () =>
      [...new Set([...table.teamUsage.listTeams(), ...budget.listAllotted()])].map((team) => ({
        team,
        usedCores: getUsed(team).cores,
        allottedCores: budget.getAllotment(team).cores,
        isLimited: limited.has(team),
      })),
    refresh: (nowMs) => {
      plannedMs = nowMs;
      budget.dropExpired(nowMs);
      estimateUnseen(nowMs);
    },
  };
}
