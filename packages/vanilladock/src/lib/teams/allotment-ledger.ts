/**
 * What the holder of the fleet duty knows of each team in each pool, and the allotments that it
 * sends next. It keeps nothing that lasts: a new holder learns from the planners' answers what is
 * used and which allotments are in force, and raises none before all pools have answered.
 */
import { SUCCESSION_MS } from '../duties/authority.js';
import { CLOCK_DRIFT, LEASE_MS } from '../jobs/lease-clock.js';
import {
  computeMaximum,
  computeMinimum,
  isSameCapacity,
  NO_RESOURCES,
} from '../jobs/free-capacity.js';
import { addResources, subtractResources } from '../placement/resources.js';
import type { Resources } from '../ports/workers.js';
import { computeAllotments, type PoolUse } from './compute-allotments.js';
import type { TeamConfig } from './team-directory.js';

/** A team in a pool, as its planner reports it. */
export interface TeamReport extends PoolUse {
  /** Jobs that the team submitted to the pool a second, also refused ones. */
  readonly jobsPerSecond: number;
}

/** Answer of a pool's planner. */
export interface PoolReport {
  readonly teams: Readonly<Record<string, TeamReport>>;
  /**
   * Whether the planner knows what its predecessor has started; before that, what it reports as used
   * contains all that may have been.
   */
  readonly isSettled: boolean;
  /** Number of the planner, which none before it in the pool has; absent in earlier versions. */
  readonly planner?: number | undefined;
}

/** What is sent to the planner of a pool about one team. */
export interface TeamShare {
  /** What the team's tasks may use in the pool; only its limited resources count. */
  readonly allotment: Resources;
  /** Limit of the team that was divided. */
  readonly limit: Resources;
  /** Jobs that the team submits to other pools a second. */
  readonly otherJobsPerSecond: number;
}

/** Ledger of one holder. */
export interface AllotmentLedger {
  /**
   * Plans what to send to each of the pools at the monotonic time `nowMs`, by pool and team. The
   * allotments count as in force from then on.
   */
  readonly plan: (
    teams: ReadonlyMap<string, TeamConfig>,
    pools: readonly string[],
    nowMs: number,
  ) => ReadonlyMap<string, Readonly<Record<string, TeamShare>>>;
  /** Gets the number of the planner that answered last; undefined if that is not known. */
  readonly getPlanner: (pool: string) => number | undefined;
  /** Takes in the answer of a pool's planner. */
  readonly observeReport: (pool: string, report: PoolReport) => void;
}

/**
 * Time after which a pool that has never answered counts as using nothing: a planner that is gone
 * has stopped by then, and its leases have expired.
 */
const LEARN_MS = SUCCESSION_MS + LEASE_MS / (1 - CLOCK_DRIFT);

/** Shortest time between two rounds; two of them move an unused allotment to another pool. */
const MIN_ROUND_MS = 200;

/** Time of a round for each pool, so that the calls a second stay bounded as pools are added. */
const ROUND_MS_PER_POOL = 12.5;

/** Computes the pause between two rounds over a number of pools, in milliseconds. */
export function computeRoundMs(pools: number): number {
  return Math.max(MIN_ROUND_MS, pools * ROUND_MS_PER_POOL);
}

/**
 * Up to this number of pools each team has an allotment in all of them, so that its first jobs in a
 * pool need not wait for a round; with more pools, only where it has jobs.
 */
const MAX_POOLS_FOR_ALL = 16;

/** A team that has nothing in a pool. */
const NO_USE: TeamReport = {
  used: NO_RESOURCES,
  wanted: NO_RESOURCES,
  unit: NO_RESOURCES,
  held: NO_RESOURCES,
  oldestWaitMs: 0,
  jobsPerSecond: 0,
};

/**
 * Rounds without an answer after which no other pool gives way to a pool; what is in force there
 * stays counted.
 */
const MAX_UNANSWERED_ROUNDS = 2;

/** Creates the ledger of a holder that starts at the monotonic time `startedMs`. */
export function createAllotmentLedger(startedMs: number): AllotmentLedger {
  /** Teams by pool, for the pools that have answered. */
  const reportsByPool = new Map<string, Map<string, TeamReport>>();
  /** Numbers of the planners that answered last, by pool. */
  const planners = new Map<string, number | undefined>();
  /** When a team was last seen to use anything in a pool, by pool and team. */
  const lastUsedMs = new Map<string, number>();
  /** Rounds since a pool last answered. */
  const unansweredRounds = new Map<string, number>();
  const isUnanswered = (pool: string) => (unansweredRounds.get(pool) ?? 0) > MAX_UNANSWERED_ROUNDS;
  /** Computes for how long a team has used nothing in a pool. */
  const computeIdleMs = (pool: string, team: string, used: Resources, nowMs: number) => {
    const key = `${pool}/${team}`;
    if (!isSameCapacity(used, NO_RESOURCES)) lastUsedMs.set(key, nowMs);
    return nowMs - (lastUsedMs.get(key) ?? startedMs);
  };
  const findUses = (
    team: string,
    pools: readonly string[],
    nowMs: number,
  ): ReadonlyMap<string, TeamReport> =>
    new Map(
      pools.flatMap((pool) => {
        const reports = reportsByPool.get(pool);
        const isSmall = pools.length <= MAX_POOLS_FOR_ALL;
        const report =
          reports?.get(team) ?? (isSmall && reports !== undefined ? NO_USE : undefined);
        if (report === undefined) return [];
        const wanted = isUnanswered(pool) ? report.used : report.wanted;
        const idleMs = computeIdleMs(pool, team, report.used, nowMs);
        return [[pool, { ...report, wanted, idleMs }] as const];
      }),
    );
  const recordSent = (pool: string, team: string, report: TeamReport, allotment: Resources) => {
    const held = computeMaximum(report.held, allotment);
    reportsByPool.get(pool)?.set(team, { ...report, held });
  };
  return {
    plan: (teams, pools, nowMs) => {
      const hasAllAnswered = pools.every((pool) => reportsByPool.has(pool));
      const mayRaise = hasAllAnswered || nowMs - startedMs > LEARN_MS;
      const messages = new Map<string, Record<string, TeamShare>>(pools.map((pool) => [pool, {}]));
      pools.forEach((pool) => unansweredRounds.set(pool, (unansweredRounds.get(pool) ?? 0) + 1));
      teams.forEach(({ name, limit }) => {
        const uses = findUses(name, pools, nowMs);
        const allotments = computeAllotments(limit, uses, mayRaise);
        const total = [...uses.values()].reduce((sum, { jobsPerSecond }) => sum + jobsPerSecond, 0);
        uses.forEach((report, pool) => {
          const allotment = allotments.get(pool);
          const message = messages.get(pool);
          if (allotment === undefined || message === undefined) return;
          const otherJobsPerSecond = total - report.jobsPerSecond;
          message[name] = { allotment, limit, otherJobsPerSecond };
          recordSent(pool, name, report, allotment);
        });
      });
      return messages;
    },
    getPlanner: (pool) => planners.get(pool),
    observeReport: (pool, { teams, isSettled, planner }) => {
      planners.set(pool, planner);
      unansweredRounds.delete(pool);
      const before = reportsByPool.get(pool);
      const reports = Object.entries(teams).map(([team, report]) => {
        const known = before?.get(team);
        if (isSettled || known === undefined) return [team, report] as const;
        // The predecessor has started no more than it had been allotted.
        const used = computeMinimum(report.used, computeMaximum(known.used, known.held));
        const waiting = subtractResources(report.wanted, report.used);
        return [team, { ...report, used, wanted: addResources(used, waiting) }] as const;
      });
      reportsByPool.set(pool, new Map(reports));
    },
  };
}
