/** Arithmetic and comparison of resource amounts. */
import { z } from 'zod';
import type { Resources } from '../ports/workers.js';

/** Names of the resources, for what is done to each of them. */
export const RESOURCE_NAMES = ['cores', 'memoryMb', 'accelerators'] as const;

const amountSchema = z.number().nonnegative();

/** An amount, as messages and records state it. */
export const resourcesSchema = z.object({
  cores: amountSchema,
  memoryMb: amountSchema,
  accelerators: amountSchema,
});

/** Adds two amounts. */
export function addResources(a: Resources, b: Resources): Resources {
  return {
    cores: a.cores + b.cores,
    memoryMb: a.memoryMb + b.memoryMb,
    accelerators: a.accelerators + b.accelerators,
  };
}

/** Subtracts the second amount from the first; parts may become negative. */
export function subtractResources(a: Resources, b: Resources): Resources {
  return {
    cores: a.cores - b.cores,
    memoryMb: a.memoryMb - b.memoryMb,
    accelerators: a.accelerators - b.accelerators,
  };
}

/** Multiplies an amount. */
export function computeMultiple(size: Resources, count: number): Resources {
  return {
    cores: size.cores * count,
    memoryMb: size.memoryMb * count,
    accelerators: size.accelerators * count,
  };
}

/** Says whether a size fits into a capacity in every part. */
export function isWithin(size: Resources, capacity: Resources): boolean {
  return (
    size.cores <= capacity.cores &&
    size.memoryMb <= capacity.memoryMb &&
    size.accelerators <= capacity.accelerators
  );
}

/** Says whether a size is valid for a task: finite, no negative part, and more than zero cores. */
export function isValidSize(size: Resources): boolean {
  const parts = [size.cores, size.memoryMb, size.accelerators];
  return size.cores > 0 && parts.every((part) => Number.isFinite(part) && part >= 0);
}
