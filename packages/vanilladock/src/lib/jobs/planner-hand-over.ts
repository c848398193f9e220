/** Makes what a planner tells its successor, and applies what the one before has told. */
import type { PoolTeams } from '../teams/pool-teams.js';
import type { CrashWatch } from './crashes/crash-watch.js';
import { makeHandOver, type HandOver, type TimedHandOver } from './hand-over.js';
import type { Inheritance } from './inheritance.js';
import type { InheritedRuns } from './inherited-runs.js';
import { observeStoppedRuns, observeToldRuns } from './observe-orders.js';
import type { PoolContext } from './pool-context.js';
import type { Worker } from './state.js';
import { makeToldWorkers } from './told-workers.js';
import type { WorkerIncarnations } from './worker-incarnations.js';
import { isEnding } from './crashes/worker-silences.js';

/** The parts of a planner that tell, and that are told. */
export interface PlannerHandOverOptions {
  readonly context: PoolContext;
  readonly inheritance: Inheritance;
  readonly inheritedRuns: InheritedRuns;
  readonly crashWatch: Pick<CrashWatch, 'findSilentMs' | 'listCrashes' | 'observeTold'>;
  readonly incarnations: Pick<WorkerIncarnations, 'isEndOrdered'>;
  readonly teams: Pick<PoolTeams, 'makeTold' | 'applyTold'>;
}

/** Hand-overs of a planner. */
export interface PlannerHandOver {
  /** Makes what the next planner has to know; this one must send no orders after `nowMs`. */
  readonly make: (token: number, nowMs: number) => HandOver;
  /** Applies what the preceding planner tells. */
  readonly observe: (timed: TimedHandOver) => void;
}

/** Creates the hand-overs of a planner. */
export function createPlannerHandOver(options: PlannerHandOverOptions): PlannerHandOver {
  const { context, inheritance, inheritedRuns, crashWatch, incarnations, teams } = options;
  const { table } = context;
  const listToldWorkers = (nowMs: number) => {
    const unreportedIds = new Set(inheritance.listUnreported().map(({ id }) => id));
    const isEndPlanned = (worker: Worker) =>
      incarnations.isEndOrdered(worker.entry.id) || isEnding(worker, nowMs);
    return makeToldWorkers(
      {
        workers: table.workers,
        findTask: table.findTask,
        findSilentMs: crashWatch.findSilentMs,
        isEndPlanned,
        unreportedIds,
        passedOn: inheritedRuns.list(unreportedIds, nowMs),
      },
      nowMs,
    );
  };
  return {
    make: (token, nowMs) =>
      makeHandOver(
        {
          token,
          workers: table.workers,
          findTask: table.findTask,
          inheritance,
          jobs: table.jobs,
          allotments: teams.makeTold(nowMs),
          toldWorkers: listToldWorkers(nowMs),
          toldCrashes: crashWatch.listCrashes(nowMs),
        },
        nowMs,
      ),
    observe: (timed) => {
      const { allotments, stoppedRuns = [], crashes } = timed.handOver;
      inheritance.observeHandOver(timed);
      inheritedRuns.observeHandOver(timed);
      observeStoppedRuns(context, stoppedRuns);
      observeToldRuns(context, inheritedRuns);
      if (crashes !== undefined) crashWatch.observeTold(crashes, timed.atMs);
      if (allotments !== undefined) teams.applyTold(allotments, timed.atMs);
    },
  };
}
