/**
 * Estimates how much tasks of one image raise the tail latency of tasks of another on the same
 * worker. Load pattern: tasks that use idle processor time beside tasks that serve users; most pairs
 * of images do not affect each other, some do, and by amounts that change within seconds. The tail
 * of a serving task is modelled as a level of its own plus an effect of each image beside it, and
 * the parts follow the error of the model, weighted by the pace of each image.
 */

/** What one report shows of a serving task. */
export interface TailSample {
  /** Image of the serving task. */
  readonly victim: string;
  /** Its tail latency divided by its target. */
  readonly tailShare: number;
  /** Pace of the tasks beside it, summed by image; 1 is one task at full speed. */
  readonly paces: ReadonlyMap<string, number>;
}

/** Estimate for a pair. */
export interface PairEstimate {
  readonly aggressor: string;
  readonly victim: string;
  /** By how much one task at full speed raises the tail, as a share of the target. */
  readonly effect: number;
  readonly samples: number;
  /** Time of the newest sample, on the monotonic clock. */
  readonly updatedMs: number;
}

/** Estimates of one pool. */
export interface PairEstimates {
  readonly observe: (sample: TailSample, nowMs: number) => void;
  /**
   * Computes by how much one more task of an image at full speed would raise the tail of another;
   * 0 for a pair that is not known, and falling towards 0 as the estimate ages.
   */
  readonly getEffect: (aggressor: string, victim: string, nowMs: number) => number;
  /** Lists the estimates that have not aged out. */
  readonly list: (nowMs: number) => readonly PairEstimate[];
}

/** Largest number of pairs; the one without a sample for longest is dropped. */
export const MAX_PAIRS = 512;

/** Largest number of serving images whose own level is kept. */
const MAX_LEVELS = 512;

/** Share of the error that one sample corrects. */
const LEARNING_RATE = 0.3;

/** Samples until an estimate counts in full. */
const SURE_AFTER_SAMPLES = 4;

/** Effects change within seconds: an estimate halves in this time without a sample. */
const HALF_LIFE_MS = 6_000;

/** Estimates older than this are dropped. */
const MAX_AGE_MS = 30_000;

/** Effects below this share of a target are not told from noise. */
const MIN_EFFECT = 0.02;

interface Pair {
  readonly aggressor: string;
  readonly victim: string;
  effect: number;
  samples: number;
  updatedMs: number;
}

/** Makes the key of a pair; a control character separates the images. */
export function makePairKey(aggressor: string, victim: string): string {
  return `${aggressor}\u0000${victim}`;
}

/** Drops the entries that were set first until a map has at most `limit`. */
function dropOldest<T>(map: Map<string, T>, limit: number): void {
  for (const key of map.keys()) {
    if (map.size <= limit) return;
    map.delete(key);
  }
}

/** Creates estimates that know no pair. */
export function createPairEstimates(): PairEstimates {
  /** In the order of their newest samples. */
  const pairs = new Map<string, Pair>();
  const levels = new Map<string, number>();

  const takePair = (aggressor: string, victim: string, nowMs: number): Pair => {
    const key = makePairKey(aggressor, victim);
    const known = pairs.get(key);
    pairs.delete(key);
    const isFresh = known !== undefined && nowMs - known.updatedMs <= MAX_AGE_MS;
    const pair = isFresh ? known : { aggressor, victim, effect: 0, samples: 0, updatedMs: nowMs };
    pairs.set(key, pair);
    return pair;
  };
  const computeDecayed = ({ effect, samples, updatedMs }: Pair, nowMs: number) => {
    const ageMs = nowMs - updatedMs;
    if (ageMs > MAX_AGE_MS) return 0;
    const certainty = Math.min(1, samples / SURE_AFTER_SAMPLES);
    const decayed = effect * certainty * 0.5 ** (ageMs / HALF_LIFE_MS);
    return decayed < MIN_EFFECT ? 0 : decayed;
  };
  return {
    observe: ({ victim, tailShare, paces }, nowMs) => {
      const active = [...paces].filter(([, pace]) => pace > 0);
      const level = levels.get(victim);
      if (active.length === 0 || level === undefined) {
        const next = level === undefined ? tailShare : level + LEARNING_RATE * (tailShare - level);
        levels.delete(victim);
        levels.set(victim, active.length === 0 ? next : Math.min(next, tailShare / 2));
        dropOldest(levels, MAX_LEVELS);
        if (active.length === 0) return;
      }
      const found = active.map(([aggressor, pace]) => ({
        pair: takePair(aggressor, victim, nowMs),
        pace,
      }));
      const predicted = found.reduce(
        (sum, { pair, pace }) => sum + pair.effect * pace,
        levels.get(victim) ?? 0,
      );
      const power = found.reduce((sum, { pace }) => sum + pace * pace, 0);
      const step = (LEARNING_RATE * (tailShare - predicted)) / Math.max(power, MIN_EFFECT);
      found.forEach(({ pair, pace }) => {
        pair.effect = Math.max(0, pair.effect + step * pace);
        pair.samples += 1;
        pair.updatedMs = nowMs;
      });
      dropOldest(pairs, MAX_PAIRS);
    },
    getEffect: (aggressor, victim, nowMs) => {
      const pair = pairs.get(makePairKey(aggressor, victim));
      return pair === undefined ? 0 : computeDecayed(pair, nowMs);
    },
    list: (nowMs) =>
      [...pairs.values()]
        .filter(({ updatedMs }) => nowMs - updatedMs <= MAX_AGE_MS)
        .map((pair) => ({ ...pair, effect: computeDecayed(pair, nowMs) })),
  };
}
