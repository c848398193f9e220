/**
 * Learns the sizes of each kind of task from the usage that its ended tasks reported. The estimate is
 * an upper quantile of recent samples in which newer ones weigh more. A sample that reached its limit
 * says only that the task needs more, so it counts several times over.
 */
import { List } from 'immutable';
import type { Resources } from '../ports/workers.js';

/** What is known of one kind of task. */
export interface KindState {
  /** Recent samples of peak usage, oldest first. */
  readonly samples: List<Resources>;
  /** Learned size; absent until enough samples are in. */
  readonly estimate: Resources | undefined;
  /** Decayed counts of tasks that ended well and badly, over all workers. */
  readonly successes: number;
  readonly failures: number;
}

/** Samples kept for each kind. */
export const SAMPLES_KEPT = 24;

/** Samples that are needed before an estimate is given. */
export const SAMPLES_NEEDED = 3;

const QUANTILE = 0.9;
const SAMPLE_DECAY = 0.95;
const HEADROOM = 1.1;
const LIMIT_SHARE = 0.95;
const HEALTH_DECAY = 0.95;

/** Factor by which a size that proved too small grows. */
export const GROWTH = 4;

/** What is known before the first sample. */
export const UNKNOWN_KIND: KindState = {
  samples: List(),
  estimate: undefined,
  successes: 0,
  failures: 0,
};

/** Says whether usage reached the memory that was granted. */
export function isOutOfMemory(used: Resources, granted: Resources): boolean {
  return used.memoryMb >= granted.memoryMb * LIMIT_SHARE;
}

/** Scales up a usage that reached its limit. */
function estimateNeed(used: number, granted: number): number {
  return granted > 0 && used >= granted * LIMIT_SHARE ? used * GROWTH : used;
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

/** Takes in the peak usage of a task that ran with a granted size. */
export function observeUsage(kind: KindState, used: Resources, granted: Resources): KindState {
  const sample = {
    cores: estimateNeed(used.cores, granted.cores),
    memoryMb: estimateNeed(used.memoryMb, granted.memoryMb),
    accelerators: used.accelerators,
  };
  const samples = kind.samples.push(sample).takeLast(SAMPLES_KEPT);
  return { ...kind, samples, estimate: estimateSize(samples) };
}

/** Takes in whether a task of the kind ended well. */
export function observeEnd(kind: KindState, isSuccess: boolean): KindState {
  return {
    ...kind,
    successes: kind.successes * HEALTH_DECAY + (isSuccess ? 1 : 0),
    failures: kind.failures * HEALTH_DECAY + (isSuccess ? 0 : 1),
  };
}

/** Chooses the size of a task's next attempt: learned where known, else declared. */
export function chooseSize(
  kind: KindState | undefined,
  declared: Resources,
  grownMemoryMb: number,
): Resources {
  const base = kind?.estimate ?? declared;
  if (grownMemoryMb <= base.memoryMb) return base;
  return { ...base, memoryMb: grownMemoryMb };
}
