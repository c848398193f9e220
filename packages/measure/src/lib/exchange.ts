/**
 * Measurement `exchange`: compares methods of reporting the demand of 340 teams to peers at equal
 * bytes, for 6 to 32 entries and a skewed load that moves among teams and entries. The results are
 * tabled in docs/design/004-usage-exchange.md.
 *
 * `exact` reports the teams in turn, `threshold` reports the teams whose demand changed most, and
 * `probabilistic` reports a team with a probability for each bundle of requests, after Herd
 * ("Herding the Elephants: Detecting Network-Wide Heavy Hitters with Limited Resources", CoNEXT
 * 2019).
 */
import { createRandom, createUsageReport, type Random } from 'vanilladock';
import type { Figures, Measure } from './measure.js';

const TEAMS = 340;
const SIZES = [6, 8, 16, 32];
const METHODS = ['exact', 'threshold', 'probabilistic'] as const;
/** Maximum number of teams in a datagram; each takes the same bytes with every method. */
const MAX_REPORTED_TEAMS = 16;
const TEAM_BYTES = 4;
const RUN_S = 120;
/** Quota of each team over all entries, in requests a second. */
const QUOTA_PER_SECOND = 100;
/** Time after which another team floods and the load moves among teams and entries. */
const SHIFT_INTERVAL_S = 20;
/** Demand of the flooding team, as a multiple of its quota. */
const FLOOD_FACTOR = 4;
/** Demand of all teams together without a flood, in requests a second. */
const NORMAL_TOTAL_PER_SECOND = 4_000;
const ZIPF_EXPONENT = 0.9;
const BUNDLE_REQUESTS = 5;
/** Probability that a bundle of requests is reported. */
const REPORT_PROBABILITY = 0.5;
/** Share of an estimate of method `probabilistic` that a new report replaces each second. */
const DECAY_SHARE = 0.5;

type Method = (typeof METHODS)[number];

/** Selects the demand that one entry reports in one interval, by team. */
interface DemandReporter {
  readonly selectReport: (demand: readonly number[], second: number) => ReadonlyMap<number, number>;
}

/** Creates the reporter of method `exact`, which reports all teams in turn. */
function createExactReporter(): DemandReporter {
  let nextTeam = 0;
  return {
    selectReport: (demand) => {
      const teams = Array.from(
        { length: MAX_REPORTED_TEAMS },
        (_, index) => (nextTeam + index) % TEAMS,
      );
      nextTeam = (nextTeam + MAX_REPORTED_TEAMS) % TEAMS;
      return new Map(teams.map((team) => [team, demand[team] ?? 0]));
    },
  };
}

/**
 * Creates the reporter of method `threshold`, which reports rates that changed beyond a threshold.
 */
function createThresholdReporter(): DemandReporter {
  const usageReport = createUsageReport();
  return {
    selectReport: (demand, second) => {
      const rates = new Map(demand.map((rate, team) => [String(team), rate]));
      const changes = usageReport.takeChanges(rates, MAX_REPORTED_TEAMS, second * 1_000);
      return new Map(changes.map(({ team, perSecond }) => [Number(team), perSecond]));
    },
  };
}

/**
 * Creates the reporter of method `probabilistic`, which samples bundles of requests; receivers let
 * the reported demand decay.
 */
function createProbabilisticReporter(random: Random): DemandReporter {
  const counts = new Array<number>(TEAMS).fill(0);
  const pendingDemand = new Map<number, number>();
  return {
    selectReport: (demand) => {
      demand.forEach((rate, team) => {
        counts[team] = (counts[team] ?? 0) + rate;
        for (
          ;
          (counts[team] ?? 0) >= BUNDLE_REQUESTS;
          counts[team] = (counts[team] ?? 0) - BUNDLE_REQUESTS
        ) {
          if (random() >= REPORT_PROBABILITY) continue;
          pendingDemand.set(
            team,
            (pendingDemand.get(team) ?? 0) + BUNDLE_REQUESTS / REPORT_PROBABILITY,
          );
        }
      });
      const reported = [...pendingDemand].sort((a, b) => b[1] - a[1]).slice(0, MAX_REPORTED_TEAMS);
      reported.forEach(([team]) => pendingDemand.delete(team));
      return new Map(reported);
    },
  };
}

/** Creates the reporter of a method. */
function createReporter(method: Method, random: Random): DemandReporter {
  switch (method) {
    case 'exact':
      return createExactReporter();
    case 'threshold':
      return createThresholdReporter();
    case 'probabilistic':
      return createProbabilisticReporter(random);
    default:
      return method satisfies never;
  }
}

/**
 * Makes the demand of each team at each entry: skewed, with one flooding team; both change over
 * time.
 */
function makeDemand(second: number, entries: number): readonly (readonly number[])[] {
  const epoch = Math.floor(second / SHIFT_INTERVAL_S);
  const weights = Array.from({ length: TEAMS }, (_, rank) => (rank + 1) ** -ZIPF_EXPONENT);
  const sum = weights.reduce((total, weight) => total + weight, 0);
  const flooding = (epoch * 37) % TEAMS;
  return Array.from({ length: entries }, (_, entry) =>
    weights.map((_weight, team) => {
      const rank = (team + epoch * 11) % TEAMS;
      const normal = Math.min(
        QUOTA_PER_SECOND / 2,
        (NORMAL_TOTAL_PER_SECOND * (weights[rank] ?? 0)) / sum,
      );
      const total = team === flooding ? QUOTA_PER_SECOND * FLOOD_FACTOR : normal;
      const skew = (2 * (1 + ((entry + team + epoch) % entries))) / (entries * (entries + 1));
      return total * skew;
    }),
  );
}

/** Applies an entry's report to its peers' estimate of its demand. */
function updateEstimate(
  estimate: number[],
  reported: ReadonlyMap<number, number>,
  method: Method,
): void {
  if (method !== 'probabilistic') {
    reported.forEach((rate, team) => {
      estimate[team] = rate;
    });
    return;
  }
  estimate.forEach((rate, team) => {
    estimate[team] = rate * (1 - DECAY_SHARE) + (reported.get(team) ?? 0) * DECAY_SHARE;
  });
}

/** Simulates one method with a number of entries. */
function runMethod(method: Method, entries: number, seed: number) {
  const random = createRandom(seed);
  const reporters = Array.from({ length: entries }, () => createReporter(method, random));
  const estimates = reporters.map(() => new Array<number>(TEAMS).fill(0));
  const detections: number[] = [];
  let errorSum = 0;
  let errorCount = 0;
  let bytes = 0;
  let detectedIn = -1;
  for (let second = 0; second < RUN_S; second += 1) {
    const demand = makeDemand(second, entries);
    reporters.forEach((reporter, entry) => {
      const reported = reporter.selectReport(demand[entry] ?? [], second);
      bytes += reported.size * TEAM_BYTES;
      updateEstimate(estimates[entry] ?? [], reported, method);
    });
    for (let team = 0; team < TEAMS; team += 1) {
      const actual = demand.reduce((sum, rates) => sum + (rates[team] ?? 0), 0);
      const estimated = estimates.reduce((sum, rates) => sum + (rates[team] ?? 0), 0);
      errorSum += Math.abs(estimated - actual) / QUOTA_PER_SECOND;
      errorCount += 1;
      const epoch = Math.floor(second / SHIFT_INTERVAL_S);
      if (actual > QUOTA_PER_SECOND && estimated > QUOTA_PER_SECOND && detectedIn !== epoch) {
        detectedIn = epoch;
        detections.push((second % SHIFT_INTERVAL_S) + 1);
      }
    }
  }
  const missed = RUN_S / SHIFT_INTERVAL_S - detections.length;
  const detected = detections.reduce((sum, time) => sum + time, 0) + missed * SHIFT_INTERVAL_S;
  return {
    error: errorSum / errorCount,
    detectS: detected / (RUN_S / SHIFT_INTERVAL_S),
    bytesPerS: bytes / RUN_S / entries,
    missed,
  };
}

/**
 * Simulates every method of reporting demand with every number of entries. The figures are named
 * after both, such as `exact_6_detect_s`: the mean error of the peers' estimates as a share of a
 * team's quota, the mean time until an overrun of a quota is detected, the number of overruns that
 * were never detected, and the bytes per second that an entry sends to one peer. The same seed
 * gives the same figures.
 */
export function compareExchanges(seed: number): Figures {
  const figures = METHODS.flatMap((method) =>
    SIZES.flatMap((entries) => {
      const { error, detectS, bytesPerS, missed } = runMethod(method, entries, seed);
      const prefix = `${method}_${entries}`;
      return [
        [`${prefix}_error_of_quota`, error],
        [`${prefix}_detect_s`, detectS],
        [`${prefix}_missed`, missed],
        [`${prefix}_bytes_per_s_to_a_peer`, bytesPerS],
      ] as const;
    }),
  );
  return Object.fromEntries(figures.map(([key, value]) => [key, Number(value.toFixed(4))]));
}

/** The measurement `exchange`. */
export const EXCHANGE_MEASURE: Measure = {
  name: 'exchange',
  describe: 'methods of reporting demand of teams to peers at equal bytes, in simulated time',
  run: ({ seed }) => Promise.resolve(compareExchanges(seed)),
};
