/**
 * Learns the size of each kind of task from the usage reported by finished tasks. The estimate is
 * an upper quantile of recent samples, with newer samples weighted more. A sample that reached its
 * limit is only a lower bound of the need, so it is scaled up.
 */
import { List } from 'immutable';
import type { Resources } from '../ports/workers.js';

/** Usage samples, learned size and health of one kind of task. */
export interface KindState {
  /** Recent samples of peak usage, oldest first. */
  readonly samples: List<Resources>;
  /** Learned size; undefined until there are enough samples. */
  readonly estimate: Resources | undefined;
  /** Decayed counts of succeeded and failed tasks, over all workers. */
  readonly successes: number;
  readonly failures: number;
}

/** Samples kept per kind. */
export const SAMPLES_KEPT = 24;

/** Samples required for an estimate. */
export const SAMPLES_NEEDED = 3;

/** Quantile of the samples that the estimate is based on. */
const QUANTILE = 0.9;

/** Factor by which a sample's weight decreases with each newer sample. */
const SAMPLE_DECAY = 0.95;

/** Factor by which the estimates of cores and memory exceed that quantile. */
const HEADROOM = 1.1;

/** Share of the granted size from which a usage counts as having reached its limit. */
const LIMIT_SHARE = 0.95;

/** Factor by which the counts of successes and failures decrease with each new outcome. */
const HEALTH_DECAY = 0.95;

/** Factor by which a size that proved too small is increased. */
export const GROWTH_FACTOR = 4;

/** State of a kind before the first sample. */
export const UNKNOWN_KIND: KindState = {
  samples: List(),
  estimate: undefined,
  successes: 0,
  failures: 0,
};

/** Says whether memory usage reached `LIMIT_SHARE` of the granted size, which counts as the limit. */
export function isOutOfMemory(used: Resources, granted: Resources): boolean {
  return used.memoryMb >= granted.memoryMb * LIMIT_SHARE;
}

/** Estimates the need behind a usage; one at its limit is scaled up. */
function estimateNeed(used: number, granted: number): number {
  return granted > 0 && used >= granted * LIMIT_SHARE ? used * GROWTH_FACTOR : used;
}

/** Computes the upper quantile of values whose weights decay with age; the newest is last. */
function computeQuantile(values: readonly number[]): number {
  const weighted = values
    .map((value, index) => ({ value, weight: SAMPLE_DECAY ** (values.length - 1 - index) }))
    .sort((a, b) => a.value - b.value);
  const total = weighted.reduce((sum, { weight }) => sum + weight, 0);
  let below = 0;
  for (const { value, weight } of weighted) {
    below += weight;
    if (below >= total * QUANTILE) return value;
  }
  return weighted.at(-1)?.value ?? 0;
}

/** Estimates the size of a kind from its samples. */
function estimateSize(samples: List<Resources>): Resources | undefined {
  if (samples.size < SAMPLES_NEEDED) return undefined;
  const list = samples.toArray();
  return {
    cores: Math.max(0.1, Math.ceil(computeQuantile(list.map((s) => s.cores)) * HEADROOM * 10) / 10),
    memoryMb: Math.ceil(computeQuantile(list.map((s) => s.memoryMb)) * HEADROOM),
    accelerators: Math.ceil(computeQuantile(list.map((s) => s.accelerators))),
  };
}

/** Adds the peak usage of a task that ran with the granted size, and updates the estimate. */
export function observeUsage(kind: KindState, used: Resources, granted: Resources): KindState {
  const sample = {
    cores: estimateNeed(used.cores, granted.cores),
    memoryMb: estimateNeed(used.memoryMb, granted.memoryMb),
    accelerators: used.accelerators,
  };
  const samples = kind.samples.push(sample).takeLast(SAMPLES_KEPT);
  return { ...kind, samples, estimate: estimateSize(samples) };
}

/** Counts a task of the kind that succeeded or failed. */
export function observeTaskEnd(kind: KindState, isSuccess: boolean): KindState {
  return {
    ...kind,
    successes: kind.successes * HEALTH_DECAY + (isSuccess ? 1 : 0),
    failures: kind.failures * HEALTH_DECAY + (isSuccess ? 0 : 1),
  };
}

/**
 * Chooses the size of a task's next attempt: the learned size if known, else the declared one.
 * `grownMemoryMb` is the least memory after an attempt that ran out of memory; 0 for none.
 */
export function chooseSize(
  kind: KindState | undefined,
  declared: Resources,
  grownMemoryMb: number,
): Resources {
  const base = kind?.estimate ?? declared;
  if (grownMemoryMb <= base.memoryMb) return base;
  return { ...base, memoryMb: grownMemoryMb };
}
