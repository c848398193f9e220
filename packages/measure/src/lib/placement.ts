/**
 * Measurement `placement`: at design size, the decision core and a baseline run the same timeline
 * of floods and faults. Both are checked by the spans that the workers recorded.
 */
import { createBaselineScheduler } from './placement/baseline-scheduler.js';
import { createCoreScheduler } from './placement/core-scheduler.js';
import {
  countBlackHoleTasks,
  countDoubleRuns,
  countQuotaViolations,
  findMostAttempts,
  findQuantile,
} from './placement/run-checks.js';
import { runScenario } from './placement/scenario.js';
import type { Outcome } from './placement/scenario.js';

const P99 = 0.99;

/**
 * Lists how long each accepted quick task waited for its first start, in milliseconds. A task that
 * never started counts as waiting until the end of the run, unless it was cancelled.
 */
function listQuickWaits(outcome: Outcome): readonly number[] {
  return [...outcome.tasks.values()]
    .filter(({ urgency, taskId }) => urgency === 'quick' && outcome.isAccepted(taskId))
    .filter(({ taskId }) => outcome.startedMs.has(taskId) || !outcome.cancelled.has(taskId))
    .map(({ taskId }) => {
      const startMs = outcome.startedMs.get(taskId) ?? outcome.endMs;
      return startMs - (outcome.submittedMs.get(taskId) ?? 0);
    });
}

/** Computes the figures of one run. */
function buildFigures(outcome: Outcome, prefix: string): Readonly<Record<string, number>> {
  const { entries, tasks, failingSince } = outcome;
  const startMs = findQuantile(listQuickWaits(outcome), P99);
  return {
    [`${prefix}urgent_start_p99_s`]: Math.round(startMs) / 1_000,
    [`${prefix}double_runs`]: countDoubleRuns(entries),
    [`${prefix}quota_violations`]: countQuotaViolations(entries, tasks),
    [`${prefix}black_hole_tasks_p99`]: findQuantile(
      countBlackHoleTasks(entries, failingSince),
      P99,
    ),
    [`${prefix}unrunnable_attempts_max`]: findMostAttempts(entries, tasks),
  };
}

/** Logs details that the figures don't show, as one JSON line. */
function logDetails(name: string, outcome: Outcome, log: (line: string) => void): void {
  const waits = listQuickWaits(outcome);
  const phases = new Map<string, number>();
  outcome.entries.forEach(({ phase }) => phases.set(phase, (phases.get(phase) ?? 0) + 1));
  const details = {
    run: name,
    tasks: outcome.tasks.size,
    quickAccepted: waits.length,
    quickStartS: [0.5, 0.9, 0.99, 0.999, 1].map((share) => findQuantile(waits, share) / 1_000),
    ends: Object.fromEntries(phases),
    refusals: Object.fromEntries(outcome.refusals),
    blackHoles: countBlackHoleTasks(outcome.entries, outcome.failingSince),
  };
  log(JSON.stringify(details));
}

/** Runs both schedulers on the same seed and returns the figures. */
async function run(options: {
  readonly seed: number;
  readonly log: (line: string) => void;
}): Promise<Readonly<Record<string, number>>> {
  const { seed, log } = options;
  const decisions = new Map<string, number>();
  const core = runScenario(seed, (pools, random, send, poll) =>
    createCoreScheduler(pools, random, send, poll, (decision) => {
      const kind = decision.kind === 'command' ? decision.command.kind : decision.kind;
      decisions.set(kind, (decisions.get(kind) ?? 0) + 1);
    }),
  );
  logDetails('core', core, log);
  log(JSON.stringify({ run: 'core', decisions: Object.fromEntries(decisions) }));
  const baseline = runScenario(seed, (pools, _random, send) =>
    createBaselineScheduler(pools, send),
  );
  logDetails('baseline', baseline, log);
  return { ...buildFigures(core, ''), ...buildFigures(baseline, 'baseline_'), seed };
}

/** The measurement `placement`. */
export const PLACEMENT_MEASURE = {
  name: 'placement',
  describe: 'task placement at design size under floods and faults, against first fit',
  run,
} as const;
