/** Pools with one team, their planners' budgets, and the holder that divides the team's limit. */
import { createAllotmentLedger, type TeamReport } from '../../lib/teams/allotment-ledger.js';
import type { PoolUse } from '../../lib/teams/compute-allotments.js';
import {
  createTeamBudget,
  type AllotMessage,
  type TeamBudget,
} from '../../lib/teams/team-budget.js';
import { createTeamDirectory } from '../../lib/teams/team-directory.js';

export const TEAM = 'fishmongers';
export const TOLERANCE = 0.1;
export const LIMIT = 100;
export const makeAmount = (cores: number) => ({ cores, memoryMb: 0, accelerators: 0 });
export const makeUse = (
  change: Partial<Record<'used' | 'wanted' | 'unit' | 'held', number>>,
): PoolUse => ({
  used: makeAmount(change.used ?? 0),
  wanted: makeAmount(change.wanted ?? 0),
  unit: makeAmount(change.unit ?? 0),
  held: makeAmount(change.held ?? 0),
  oldestWaitMs: 0,
});

/** One pool: its planner, and what the team runs and wants there. */
interface Pool {
  readonly name: string;
  /** Number of its present planner. */
  planner: number;
  budget: TeamBudget;
  used: number;
  /** What the planner counts as used in addition, as its predecessor may have started it. */
  unseen: number;
  waiting: number;
}

/** Pools with one team, and the holder of the duty that divides its limit. */
export const openScene = (poolCount: number, limit = LIMIT) => {
  let directory = createTeamDirectory([]);
  const setLimit = (cores: number) => {
    const team = { name: TEAM, jobsPerSecond: 1, limit: makeAmount(cores) };
    directory = createTeamDirectory([{ team, keys: [] }]);
  };
  setLimit(limit);
  const makeBudget = (planner: number) =>
    createTeamBudget(
      {
        getDirectory: () => directory,
        countPools: () => poolCount,
        limitTolerance: TOLERANCE,
      },
      planner,
    );
  const pools = Array.from({ length: poolCount }, (_, index): Pool => {
    return { name: `p${index}`, planner: 0, budget: makeBudget(0), used: 0, unseen: 0, waiting: 0 };
  });
  let token = 1;
  let sequence = 0;
  let nowMs = 0;
  let ledger = createAllotmentLedger(nowMs);
  const late: { readonly pool: Pool; readonly message: AllotMessage }[] = [];
  const makeReport = (pool: Pool, unit: number): TeamReport => ({
    ...makeUse({
      used: pool.used + pool.unseen,
      wanted: pool.used + pool.unseen + pool.waiting,
      unit,
    }),
    held: pool.budget.getAllotment(TEAM),
    jobsPerSecond: 0,
  });
  return {
    pools,
    setLimit,
    sumUsed: () => pools.reduce((sum, { used }) => sum + used, 0),
    /** Runs a round; messages to the pools in `lost` get no answer, those in `delayed` come later. */
    runRound: (lost: readonly number[] = [], delayed: readonly number[] = [], unit = 1) => {
      nowMs += 200;
      sequence += 1;
      const names = pools.map(({ name }) => name);
      ledger.plan(directory.teams, names, nowMs).forEach((shares, name) => {
        const index = names.indexOf(name);
        const pool = pools[index]!;
        const message = { token, sequence, shares, planner: ledger.getPlanner(name) };
        if (delayed.includes(index)) {
          late.push({ pool, message });
          return;
        }
        pool.budget.apply(message, nowMs);
        if (lost.includes(index)) return;
        const teams = { [TEAM]: makeReport(pool, unit) };
        const { planner } = pool;
        ledger.observeReport(name, { teams, isSettled: pool.unseen === 0, planner });
      });
    },
    deliverLate: () =>
      late.splice(0).forEach(({ pool, message }) => pool.budget.apply(message, nowMs)),
    replacePlanner: (index: number, unseen = 0) => {
      const pool = pools[index]!;
      pool.planner += 1;
      pool.budget = makeBudget(pool.planner);
      pool.unseen = unseen;
    },
    /** Replaces a planner that stops by one to which it tells what is in force. */
    handOver: (index: number) => {
      const pool = pools[index]!;
      const told = pool.budget.makeTold(new Set([TEAM]), nowMs);
      pool.planner += 1;
      pool.budget = makeBudget(pool.planner);
      if (told !== undefined) pool.budget.applyTold(told, nowMs);
    },
    settlePlanners: () =>
      pools.forEach((pool) => {
        pool.unseen = 0;
      }),
    replaceHolder: () => {
      token += 1;
      sequence = 0;
      ledger = createAllotmentLedger(nowMs);
    },
    /** Starts a task in a pool if its planner lets it; returns whether it did. */
    startTask: (index: number, size: number) => {
      const pool = pools[index]!;
      pool.budget.dropExpired(nowMs);
      const isFree = pool.budget.hasRoom(
        TEAM,
        makeAmount(pool.used + pool.unseen),
        makeAmount(size),
      );
      if (isFree) pool.used += size;
      return isFree;
    },
  };
};
