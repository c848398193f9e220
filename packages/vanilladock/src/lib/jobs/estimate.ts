/** Estimates of a job: its work, its longest chain of steps, and its latency objective. */
import type { JobPolicy, JobSpec, StepSpec } from './spec.js';

const MS_PER_SECOND = 1000;

/** Computes the work of some tasks of a step in core-seconds. */
export function computeStepWork(step: StepSpec, count: number): number {
  return (count * step.size.cores * step.estimateMs) / MS_PER_SECOND;
}

/** Computes a job's work in core-seconds, from the estimates of its steps. */
export function computeWork(spec: JobSpec): number {
  return spec.steps.reduce((sum, step) => sum + computeStepWork(step, step.count), 0);
}

/**
 * Computes, for each step, the longest chain of estimates from its start to the end of the job, in
 * milliseconds. Steps depend on earlier ones only.
 */
export function computeTailChains(spec: JobSpec): readonly number[] {
  const tails = spec.steps.map((step) => step.estimateMs);
  for (let index = spec.steps.length - 1; index >= 0; index -= 1) {
    const step = spec.steps[index];
    const tailMs = tails[index] ?? 0;
    step?.dependsOn.forEach((earlier) => {
      const through = (spec.steps[earlier]?.estimateMs ?? 0) + tailMs;
      tails[earlier] = Math.max(tails[earlier] ?? 0, through);
    });
  }
  return tails;
}

/** Computes the longest chain of a job, in milliseconds. */
export function computeChainMs(spec: JobSpec): number {
  return Math.max(0, ...computeTailChains(spec));
}

/** Computes the latency objective of a job in milliseconds. */
export function computeObjectiveMs(spec: JobSpec, policy: JobPolicy): number {
  return policy.stretch * computeChainMs(spec) + policy.targetLatencyMs;
}
