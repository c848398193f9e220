/** Estimates for a job: its work, its longest chain of steps, and its latency objective. */
import type { JobPolicy, JobSpec, StepSpec } from './spec.js';

const MS_PER_SECOND = 1000;

/** Computes the estimated work of `count` tasks of a step, in core-seconds. */
export function computeStepWork(step: StepSpec, count: number): number {
  return (count * step.size.cores * step.estimateMs) / MS_PER_SECOND;
}

/** Computes the estimated work of one occurrence of a job, in core-seconds. */
export function computeWork(spec: JobSpec): number {
  return spec.steps.reduce((sum, step) => sum + computeStepWork(step, step.count), 0);
}

/**
 * Computes, for each step, the longest chain of estimated durations from its start to the end of
 * the job, in milliseconds. Steps depend only on steps with a lower index.
 */
export function computeTailChains(spec: JobSpec): readonly number[] {
  const tails = spec.steps.map((step) => step.estimateMs);
  for (let index = spec.steps.length - 1; index >= 0; index -= 1) {
    const step = spec.steps[index];
    const tailMs = tails[index] ?? 0;
    step?.dependsOn.forEach((dependency) => {
      const throughStepMs = (spec.steps[dependency]?.estimateMs ?? 0) + tailMs;
      tails[dependency] = Math.max(tails[dependency] ?? 0, throughStepMs);
    });
  }
  return tails;
}

/** Computes the longest chain of estimated step durations in milliseconds; 0 without steps. */
export function computeChainMs(spec: JobSpec): number {
  return Math.max(0, ...computeTailChains(spec));
}

/** Computes the latency objective of a job: milliseconds from its arrival to its end. */
export function computeObjectiveMs(spec: JobSpec, policy: JobPolicy): number {
  return policy.stretch * computeChainMs(spec) + policy.targetLatencyMs;
}
