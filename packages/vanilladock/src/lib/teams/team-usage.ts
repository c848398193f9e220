/** Sums what the tasks of each team use on the workers of one pool, as the tables change. */
import { addResources, subtractResources } from '../placement/resources.js';
import { parseTaskKey } from '../jobs/spec.js';
import type { Job, Worker } from '../jobs/state.js';
import { NO_RESOURCES } from '../jobs/free-capacity.js';
import type { Resources } from '../ports/workers.js';

/** Sums what each team's tasks and orphaned runs use on a worker, by the jobs of the pool. */
export function sumTeamUse(
  { tasks, orphanedRuns }: Pick<Worker, 'tasks' | 'orphanedRuns'>,
  jobs: ReadonlyMap<string, Job>,
): ReadonlyMap<string, Resources> {
  const use = new Map<string, Resources>();
  [...tasks, ...orphanedRuns.keys()].forEach((key) => {
    const { jobId, stepIndex } = parseTaskKey(key);
    const record = jobs.get(jobId)?.record;
    const size = record?.spec.steps[stepIndex]?.size;
    if (record?.team === undefined || size === undefined) return;
    use.set(record.team, addResources(use.get(record.team) ?? NO_RESOURCES, size));
  });
  return use;
}

/** What each team uses, by its name. */
export type TeamUse = Readonly<Record<string, Resources>>;

/** Adds what teams use at two places. */
export function addTeamUse(a: TeamUse, b: TeamUse): TeamUse {
  const sums = new Map(Object.entries(a));
  Object.entries(b).forEach(([team, use]) =>
    sums.set(team, addResources(sums.get(team) ?? NO_RESOURCES, use)),
  );
  return Object.fromEntries(sums);
}

/** Sums of one pool. */
export interface TeamUsage {
  /** Replaces what the teams use on one worker; runs that are being stopped still count. */
  readonly setWorkerUse: (workerId: string, use: ReadonlyMap<string, Resources>) => void;
  /** Gets what a team uses on all workers. */
  readonly get: (team: string) => Resources;
  /** Lists the teams that use anything. */
  readonly listTeams: () => readonly string[];
}

/** Creates empty sums. */
export function createTeamUsage(): TeamUsage {
  const usesByWorker = new Map<string, ReadonlyMap<string, Resources>>();
  /** Sum and number of workers by team. */
  const totals = new Map<string, { readonly sum: Resources; readonly workers: number }>();
  const addUse = (team: string, use: Resources, sign: 1 | -1) => {
    const { sum, workers } = totals.get(team) ?? { sum: NO_RESOURCES, workers: 0 };
    const count = workers + sign;
    const next = sign === 1 ? addResources(sum, use) : subtractResources(sum, use);
    // Dropping a team without workers also drops the rounding errors of its sum.
    if (count === 0) totals.delete(team);
    else totals.set(team, { sum: next, workers: count });
  };
  return {
    setWorkerUse: (workerId, use) => {
      usesByWorker.get(workerId)?.forEach((amount, team) => addUse(team, amount, -1));
      if (use.size === 0) usesByWorker.delete(workerId);
      else usesByWorker.set(workerId, use);
      use.forEach((amount, team) => addUse(team, amount, 1));
    },
    get: (team) => totals.get(team)?.sum ?? NO_RESOURCES,
    listTeams: () => [...totals.keys()],
  };
}
