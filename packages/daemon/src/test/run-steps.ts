/** Runs the steps of a case in a simulation under fake timers, and checks it at the end. */
import { install, type Clock } from '@sinonjs/fake-timers';

/** A step, and the time until the next one in milliseconds. */
export interface TimedStep<Step> {
  readonly step: Step;
  readonly waitMs: number;
}

/** What a simulation offers; `check` returns what was violated. */
interface Simulation<Step> {
  readonly applyStep: (step: Step) => unknown;
  readonly check: (clock: Clock) => Promise<readonly string[]>;
}

/** Time before the first step, in which the simulated instances settle. */
const SETTLE_MS = 1_000;

/** Runs a case and returns what was violated. */
export async function runSteps<Step>(
  create: () => Simulation<Step>,
  steps: readonly TimedStep<Step>[],
): Promise<readonly string[]> {
  const clock = install({ now: 0 });
  try {
    const simulation = create();
    await clock.tickAsync(SETTLE_MS);
    for (const { step, waitMs } of steps) {
      void simulation.applyStep(step);
      await clock.tickAsync(waitMs);
    }
    return await simulation.check(clock);
  } finally {
    clock.uninstall();
  }
}
