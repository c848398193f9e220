/**
 * Measurement `exchange`: ways of telling peers the demand of 340 teams, at equal bytes, over 6 to 32
 * entries, with skewed load that moves among teams and entries. docs/design/004-usage-exchange.md holds
 * the table.
 *
 * `exact` tells each team in turn, `threshold` tells the teams that moved most, and `probabilistic`
 * tells a team with a probability for each bundle of requests, after Herd ("Herding the Elephants:
 * Detecting Network-Wide Heavy Hitters with Limited Resources", CoNEXT 2019).
 */
import { createRandom, createUsageReport, type Random } from 'vanilladock';
import type { Figures, Measure } from './measure.js';

const TEAMS = 340;
const SIZES = [6, 8, 16, 32];
const WAYS = ['exact', 'threshold', 'probabilistic'] as const;
/** Teams that a datagram tells at most; each takes the same bytes in every way. */
const BUDGET = 16;
const TEAM_BYTES = 4;
const RUN_S = 120;
const QUOTA = 100;
const MOVE_EVERY_S = 20;
const FLOOD_FACTOR = 4;
/** Calm demand of all teams together, in requests a second. */
const CALM_TOTAL = 4_000;
const ZIPF_EXPONENT = 0.9;
const BUNDLE = 5;
const REPORT_PROBABILITY = 0.5;
const DECAY = 0.5;

type Way = (typeof WAYS)[number];

/** Chooses what one entry tells in one interval. */
interface Teller {
  readonly tell: (demand: readonly number[], second: number) => ReadonlyMap<number, number>;
}

/** Creates the teller that tells each team in turn. */
function createExactTeller(): Teller {
  let next = 0;
  return {
    tell: (demand) => {
      const teams = Array.from({ length: BUDGET }, (_, index) => (next + index) % TEAMS);
      next = (next + BUDGET) % TEAMS;
      return new Map(teams.map((team) => [team, demand[team] ?? 0]));
    },
  };
}

/** Creates the teller of moves beyond a threshold. */
function createThresholdTeller(): Teller {
  const report = createUsageReport();
  return {
    tell: (demand, second) => {
      const rates = new Map(demand.map((rate, team) => [String(team), rate]));
      const changes = report.takeChanges(rates, BUDGET, second * 1_000);
      return new Map(changes.map(({ team, perSecond }) => [Number(team), perSecond]));
    },
  };
}

/** Creates the teller of bundles, each told with a probability; receivers let what they heard decay. */
function createProbabilisticTeller(random: Random): Teller {
  const counts = new Array<number>(TEAMS).fill(0);
  const waiting = new Map<number, number>();
  return {
    tell: (demand) => {
      demand.forEach((rate, team) => {
        counts[team] = (counts[team] ?? 0) + rate;
        for (; (counts[team] ?? 0) >= BUNDLE; counts[team] = (counts[team] ?? 0) - BUNDLE) {
          if (random() >= REPORT_PROBABILITY) continue;
          waiting.set(team, (waiting.get(team) ?? 0) + BUNDLE / REPORT_PROBABILITY);
        }
      });
      const told = [...waiting].sort((a, b) => b[1] - a[1]).slice(0, BUDGET);
      told.forEach(([team]) => waiting.delete(team));
      return new Map(told);
    },
  };
}

/** Creates a teller. */
function createTeller(way: Way, random: Random): Teller {
  switch (way) {
    case 'exact':
      return createExactTeller();
    case 'threshold':
      return createThresholdTeller();
    case 'probabilistic':
      return createProbabilisticTeller(random);
    default:
      return way satisfies never;
  }
}

/** Makes the demand of each team at each entry: skewed, with one flooding team, both moving. */
function makeDemand(second: number, entries: number): readonly (readonly number[])[] {
  const epoch = Math.floor(second / MOVE_EVERY_S);
  const weights = Array.from({ length: TEAMS }, (_, rank) => (rank + 1) ** -ZIPF_EXPONENT);
  const sum = weights.reduce((total, weight) => total + weight, 0);
  const flooding = (epoch * 37) % TEAMS;
  return Array.from({ length: entries }, (_, entry) =>
    weights.map((_weight, team) => {
      const rank = (team + epoch * 11) % TEAMS;
      const calm = Math.min(QUOTA / 2, (CALM_TOTAL * (weights[rank] ?? 0)) / sum);
      const total = team === flooding ? QUOTA * FLOOD_FACTOR : calm;
      const skew = (2 * (1 + ((entry + team + epoch) % entries))) / (entries * (entries + 1));
      return total * skew;
    }),
  );
}

/** Takes what an entry tells into what its peers believe of it. */
function updateBelief(belief: number[], told: ReadonlyMap<number, number>, way: Way): void {
  if (way !== 'probabilistic') {
    told.forEach((rate, team) => {
      belief[team] = rate;
    });
    return;
  }
  belief.forEach((rate, team) => {
    belief[team] = rate * (1 - DECAY) + (told.get(team) ?? 0) * DECAY;
  });
}

/** Runs one way at one size. */
function runWay(way: Way, entries: number, seed: number) {
  const random = createRandom(seed);
  const tellers = Array.from({ length: entries }, () => createTeller(way, random));
  const beliefs = tellers.map(() => new Array<number>(TEAMS).fill(0));
  const detections: number[] = [];
  let errorSum = 0;
  let errorCount = 0;
  let bytes = 0;
  let detectedIn = -1;
  for (let second = 0; second < RUN_S; second += 1) {
    const demand = makeDemand(second, entries);
    tellers.forEach((teller, entry) => {
      const told = teller.tell(demand[entry] ?? [], second);
      bytes += told.size * TEAM_BYTES;
      updateBelief(beliefs[entry] ?? [], told, way);
    });
    for (let team = 0; team < TEAMS; team += 1) {
      const actual = demand.reduce((sum, one) => sum + (one[team] ?? 0), 0);
      const believed = beliefs.reduce((sum, one) => sum + (one[team] ?? 0), 0);
      errorSum += Math.abs(believed - actual) / QUOTA;
      errorCount += 1;
      const epoch = Math.floor(second / MOVE_EVERY_S);
      if (actual > QUOTA && believed > QUOTA && detectedIn !== epoch) {
        detectedIn = epoch;
        detections.push((second % MOVE_EVERY_S) + 1);
      }
    }
  }
  const missed = RUN_S / MOVE_EVERY_S - detections.length;
  const detected = detections.reduce((sum, time) => sum + time, 0) + missed * MOVE_EVERY_S;
  return {
    error: errorSum / errorCount,
    detectS: detected / (RUN_S / MOVE_EVERY_S),
    bytesPerS: bytes / RUN_S / entries,
    missed,
  };
}

/** Runs all ways at all sizes. */
export function compareExchanges(seed: number): Figures {
  const figures = WAYS.flatMap((way) =>
    SIZES.flatMap((entries) => {
      const { error, detectS, bytesPerS, missed } = runWay(way, entries, seed);
      const prefix = `${way}_${entries}`;
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
  describe: 'ways of telling peers the demand of teams at equal bytes, in simulated time',
  run: ({ seed }) => Promise.resolve(compareExchanges(seed)),
};
