/** Arithmetic on resources. */
import type { Resources } from '../ports/workers.js';

/** Sums two amounts. */
export function addResources(a: Resources, b: Resources): Resources {
  return {
    cores: a.cores + b.cores,
    memoryMb: a.memoryMb + b.memoryMb,
    accelerators: a.accelerators + b.accelerators,
  };
}

/** Takes the second amount from the first. */
export function removeResources(a: Resources, b: Resources): Resources {
  return {
    cores: a.cores - b.cores,
    memoryMb: a.memoryMb - b.memoryMb,
    accelerators: a.accelerators - b.accelerators,
  };
}

/** Says whether the first amount fits into the second. */
export function isWithin(size: Resources, room: Resources): boolean {
  return (
    size.cores <= room.cores &&
    size.memoryMb <= room.memoryMb &&
    size.accelerators <= room.accelerators
  );
}

/** Says whether an amount is one that a task can hold: finite, no part negative, some cores. */
export function isValidSize(size: Resources): boolean {
  const parts = [size.cores, size.memoryMb, size.accelerators];
  return size.cores > 0 && parts.every((part) => Number.isFinite(part) && part >= 0);
}
