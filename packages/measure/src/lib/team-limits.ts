/**
 * Measurement `team-limits`: what dividing the limits of all teams costs the instance that does it, at
 * the design size: processor time of the plans, and bytes to and from the planners.
 */
import {
  computeRoundMs,
  createAllotmentLedger,
  type TeamReport,
} from 'vanilladock/lib/teams/allotment-ledger.js';
import type { TeamConfig } from 'vanilladock/lib/teams/team-directory.js';
import type { Figures, Measure } from './measure.js';

const POOLS = 241;
const TEAMS = 340;

/** Number of pools in which a team has jobs. */
const POOLS_PER_TEAM = 4;
const ROUNDS = 200;
const MICROSECONDS_PER_MS = 1_000;
const MS_PER_SECOND = 1_000;

/** Makes an amount of cores and memory. */
function makeAmount(cores: number) {
  return { cores, memoryMb: cores * 2_048, accelerators: 0 };
}

/** Makes the teams, each with a limit. */
function makeTeams(): ReadonlyMap<string, TeamConfig> {
  return new Map(
    Array.from({ length: TEAMS }, (_, index) => {
      const name = `team-${index}`;
      return [name, { name, jobsPerSecond: 2, limit: makeAmount(100) }];
    }),
  );
}

/** Makes the report of a pool about the teams that have jobs there. */
function makeReport(pool: number): Readonly<Record<string, TeamReport>> {
  const teams = Array.from({ length: TEAMS }, (_, index) => index).filter(
    (index) => (pool + POOLS - (index % POOLS)) % POOLS < POOLS_PER_TEAM,
  );
  return Object.fromEntries(
    teams.map((index) => [
      `team-${index}`,
      {
        used: makeAmount(10),
        wanted: makeAmount(30),
        unit: makeAmount(2),
        held: makeAmount(20),
        oldestWaitMs: 100 + pool,
        jobsPerSecond: 0.5,
      },
    ]),
  );
}

/** Runs the rounds of the design size. */
function runRounds(): Figures {
  const ledger = createAllotmentLedger(0);
  const teams = makeTeams();
  const pools = Array.from({ length: POOLS }, (_, index) => `pool-${index}`);
  const reports = pools.map((_, index) => ({ teams: makeReport(index), isSettled: true }));
  const roundMs = computeRoundMs(POOLS);
  pools.forEach((pool, index) => ledger.observeReport(pool, reports[index]!));
  const before = process.cpuUsage();
  let messageBytes = 0;
  for (let round = 1; round <= ROUNDS; round += 1) {
    ledger.plan(teams, pools, round * roundMs).forEach((shares) => {
      messageBytes += JSON.stringify({ token: 1, sequence: round, shares }).length;
    });
    pools.forEach((pool, index) => ledger.observeReport(pool, reports[index]!));
  }
  const { user, system } = process.cpuUsage(before);
  const reportBytes = reports.reduce((sum, report) => sum + JSON.stringify(report).length, 0);
  const roundCpuMs = (user + system) / MICROSECONDS_PER_MS / ROUNDS;
  const bytesPerRound = messageBytes / ROUNDS + reportBytes;
  return {
    cpu_fraction: roundCpuMs / roundMs,
    bytes_per_s: bytesPerRound / (roundMs / MS_PER_SECOND),
    bytes_per_team_and_pool: bytesPerRound / (TEAMS * POOLS_PER_TEAM),
    round_ms: roundMs,
  };
}

/** The measurement. */
export const TEAM_LIMITS_MEASURE: Measure = {
  name: 'team-limits',
  describe: 'processor time and bytes of dividing the limits of 340 teams over 241 pools',
  run: () => Promise.resolve(runRounds()),
};
