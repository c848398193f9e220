/**
 * Plays a pool's planner against simulated workers in virtual time. Their reports arrive as the
 * daemon requests them: a busy worker answers a long poll at each end, an idle one is polled with
 * pauses.
 */
import type { AdviseAction, StartAction } from '../../lib/jobs/plan-starts.js';
import type { DecisionEvent } from '../../lib/jobs/pool-context.js';
import type { JobPolicy, JobSpec } from '../../lib/jobs/spec.js';
import type { EndedTask, OrderOutcome, WorkerEntry } from '../../lib/ports/task-workers.js';
import { createHarness, makeRow, POLICY, type Harness } from './planner-harness.js';

/** How a run ends by itself, and after what time; `crash` ends the incarnation of its worker. */
export interface PlannedEnd {
  readonly how: 'done' | 'failed' | 'crash';
  readonly afterMs: number;
}

/** A crash of a worker, with the tasks whose runs were lost. */
export interface CrashEvent {
  readonly workerId: string;
  readonly atMs: number;
  readonly taskKeys: readonly string[];
}

/** A start that the planner ordered. */
export interface StartRecord {
  readonly jobId: string;
  readonly taskKey: string;
  readonly workerId: string;
  readonly atMs: number;
}

/** An advisor that works off queries in turn, also those for whose answer nobody waits any more. */
export interface SimulatedAdvisor {
  readonly decideMs: number;
  readonly perWorkerMs: number;
  /** Whether a worker may run the steps; by default each may. */
  readonly isAllowed?: (workerId: string) => boolean;
}

export interface SimulationOptions {
  readonly workers: readonly WorkerEntry[];
  /** Decides how a run ends; undefined for one that lasts until it is stopped. */
  readonly decideEnd: (start: StartRecord) => PlannedEnd | undefined;
  /** Answers a start order; by default it is accepted. */
  readonly answerStart?: (start: StartRecord) => OrderOutcome;
  /** Without one, queries get no answer. */
  readonly advisor?: SimulatedAdvisor;
  /** Says whether a task belongs to a gang, whose other runs break when its worker crashes. */
  readonly isInGang?: (taskKey: string) => boolean;
  /** Time until a crashed worker is back under another id. */
  readonly downMs?: number;
  /** Receives the entries of the decision log. */
  readonly report?: (event: DecisionEvent) => void;
}

export interface PoolSimulation {
  readonly harness: Harness;
  readonly starts: readonly StartRecord[];
  readonly crashes: readonly CrashEvent[];
  /**
   * Ends the incarnation of a worker; another one at its address follows. Of one that loses power,
   * connections stay open, so that each call to it ends by its time limit.
   */
  readonly crash: (workerId: string, isDark?: boolean) => void;
  /** Lists the ids of the workers that are up. */
  readonly listWorkerIds: () => readonly string[];
  /** Advances the time to `untilMs`. */
  readonly runUntil: (untilMs: number) => void;
  readonly getNowMs: () => number;
  readonly submit: (spec: JobSpec, policy?: JobPolicy) => void;
  /** Replaces the list of registered workers; those that are omitted stop to answer. */
  readonly setWorkers: (entries: readonly WorkerEntry[]) => void;
  /** Gets the time at which the first task of a job was started. */
  readonly getFirstStartMs: (jobId: string) => number | undefined;
}

interface SimulatedRun {
  readonly taskKey: string;
  readonly run: number;
  readonly startedMs: number;
  readonly end: PlannedEnd | undefined;
}

interface PendingQuery {
  readonly stepKey: string;
  readonly workerIds: readonly string[];
  readonly sentMs: number;
  readonly endMs: number;
}

interface DownWorker {
  readonly untilMs: number;
  /** Whether its machine refuses no connections, so that calls go unanswered. */
  readonly isDark: boolean;
  readonly missIntervalMs: number;
  nextMissMs: number;
}

interface SimulatedWorker {
  readonly runs: Map<string, SimulatedRun>;
  ended: readonly EndedTask[];
  lastNumber: number;
  nextReportMs: number;
}

const STEP_MS = 10;
const PLAN_INTERVAL_MS = 250;
const POLL_MS = 700;
const IDLE_PAUSE_MS = 2_000;
const FULL_PERCENT = 100;
const MAX_ENDS_PER_REPORT = 500;
const ADVICE_TIMEOUT_MS = 3_000;
const MAX_WAITING_QUERIES = 32;
const TICKET_VALID_MS = 30_000;
const MISS_INTERVAL_MS = 150;
/** A call without an answer ends so long after the answer was due. */
const CALL_LIMIT_MS = 500;
const DEFAULT_DOWN_MS = 3_000;

export function createPoolSimulation(options: SimulationOptions): PoolSimulation {
  const harness = createHarness(options.report === undefined ? {} : { report: options.report });
  const { planner, at } = harness;
  const starts: StartRecord[] = [];
  const crashes: CrashEvent[] = [];
  const down = new Map<string, DownWorker>();
  let listed: readonly WorkerEntry[] = [];
  let returnCount = 0;
  const workers = new Map<string, SimulatedWorker>();
  const queries: PendingQuery[] = [];
  let nowMs = 0;
  let nextPlanMs = 0;

  const setWorkers = (entries: readonly WorkerEntry[]) => {
    listed = entries;
    const ids = new Set(entries.map(({ id }) => id));
    [...workers.keys()].filter((id) => !ids.has(id)).forEach((id) => workers.delete(id));
    entries
      .filter(({ id }) => !workers.has(id) && !down.has(id))
      .forEach(({ id }) => {
        workers.set(id, { runs: new Map(), ended: [], lastNumber: 0, nextReportMs: nowMs });
      });
    planner.observeWorkers(entries, at(nowMs));
    planner.markWorkersRecorded([...ids]);
  };
  const recordEnd = (
    worker: SimulatedWorker,
    { taskKey, run }: SimulatedRun,
    how: EndedTask['how'],
  ) => {
    worker.runs.delete(taskKey);
    worker.lastNumber += 1;
    const end: EndedTask = { number: worker.lastNumber, taskKey, run, how, checkpoint: '' };
    worker.ended = [...worker.ended, end];
    worker.nextReportMs = nowMs;
  };
  const updateGang = (lostKey: string) => {
    const stepKey = lostKey.slice(0, lostKey.lastIndexOf('.'));
    workers.forEach((worker) => {
      [...worker.runs.values()]
        .filter(({ taskKey }) => taskKey.startsWith(`${stepKey}.`))
        .forEach((run) => recordEnd(worker, run, 'broken'));
    });
  };
  const stopWorker = (id: string, isDark = false) => {
    const taskKeys = [...(workers.get(id)?.runs.keys() ?? [])];
    const answerDueMs = workers.get(id)?.nextReportMs ?? nowMs;
    crashes.push({ workerId: id, atMs: nowMs, taskKeys });
    workers.delete(id);
    const untilMs = nowMs + (options.downMs ?? DEFAULT_DOWN_MS);
    const nextMissMs = isDark ? answerDueMs + CALL_LIMIT_MS : nowMs + STEP_MS;
    const missIntervalMs = MISS_INTERVAL_MS + (isDark ? POLL_MS + CALL_LIMIT_MS : 0);
    down.set(id, { untilMs, isDark, nextMissMs, missIntervalMs });
    taskKeys.filter((key) => options.isInGang?.(key) === true).forEach(updateGang);
  };
  const restartWorker = (id: string) => {
    down.delete(id);
    planner.observeIncarnationEnd(id, 1, at(nowMs));
    returnCount += 1;
    setWorkers(
      listed.map((entry) => (entry.id === id ? { ...entry, id: `r${returnCount}` } : entry)),
    );
    nextPlanMs = nowMs;
  };
  const runDownWorker = (id: string, state: DownWorker) => {
    if (nowMs >= state.untilMs) {
      restartWorker(id);
    } else if (nowMs >= state.nextMissMs) {
      planner.observeMissedReport(id, at(nowMs), state.isDark ? 'unanswered' : 'refused');
      state.nextMissMs = nowMs + state.missIntervalMs;
      nextPlanMs = nowMs;
    }
  };
  const computePercent = ({ startedMs, end }: SimulatedRun) =>
    end === undefined || end.how !== 'done'
      ? Math.min(FULL_PERCENT, nowMs - startedMs)
      : Math.floor((FULL_PERCENT * (nowMs - startedMs)) / end.afterMs);
  const sendReport = (id: string, worker: SimulatedWorker) => {
    const storedEnd = planner.table.workers.get(id)?.storedEnd ?? 0;
    worker.ended = worker.ended.filter(({ number }) => number > storedEnd);
    const rows = [...worker.runs.values()].map((run) =>
      makeRow(run.taskKey, run.run, { percent: computePercent(run) }),
    );
    harness.report(id, nowMs, rows, worker.ended.slice(0, MAX_ENDS_PER_REPORT));
    harness.store();
    planner.markEndsStored(id, 1, planner.table.workers.get(id)?.lastEnd ?? 0);
    const known = planner.table.workers.get(id);
    const isBusy = known !== undefined && known.tasks.size + known.orphanedRuns.size > 0;
    worker.nextReportMs = nowMs + (isBusy ? POLL_MS : IDLE_PAUSE_MS);
    nextPlanMs = nowMs;
  };
  const startRun = (action: StartAction) => {
    const { taskKey, run, worker } = action;
    const jobId = taskKey.slice(0, taskKey.indexOf('.'));
    const start = { jobId, taskKey, workerId: worker.id, atMs: nowMs };
    starts.push(start);
    const simulated = workers.get(worker.id);
    const answer: OrderOutcome =
      simulated === undefined ? { kind: 'unknown' } : { kind: 'accepted', clockMs: nowMs };
    const outcome = options.answerStart?.(start) ?? answer;
    planner.observeStart(action, outcome, at(nowMs));
    if (outcome.kind !== 'accepted' || simulated === undefined) return;
    const end = options.decideEnd(start);
    simulated.runs.set(taskKey, { taskKey, run, startedMs: nowMs, end });
    simulated.nextReportMs = Math.min(simulated.nextReportMs, nowMs + STEP_MS);
  };
  const isAllowed = (id: string) => options.advisor?.isAllowed?.(id) ?? true;
  const sendQuery = ({ stepKey, workerIds }: AdviseAction) => {
    const { advisor } = options;
    if (advisor === undefined || queries.length > MAX_WAITING_QUERIES) return;
    const startMs = Math.max(nowMs, queries.at(-1)?.endMs ?? 0);
    const endMs = startMs + advisor.decideMs + advisor.perWorkerMs * workerIds.length;
    queries.push({ stepKey, workerIds, sentMs: nowMs, endMs });
  };
  const answerQueries = () => {
    for (let query = queries[0]; query !== undefined && query.endMs <= nowMs; [query] = queries) {
      queries.shift();
      if (nowMs - query.sentMs <= ADVICE_TIMEOUT_MS) {
        const good = new Map(query.workerIds.filter(isAllowed).map((id) => [id, 'ticket']));
        planner.tickets.addAnswer(query.stepKey, good, nowMs + TICKET_VALID_MS, nowMs);
        nextPlanMs = nowMs;
      }
    }
  };
  const runPlan = () => {
    nextPlanMs = nowMs + PLAN_INTERVAL_MS;
    planner.plan(at(nowMs)).forEach((action) => {
      if (action.kind === 'start') startRun(action);
      if (action.kind === 'advise') sendQuery(action);
      if (action.kind !== 'stop') return;
      planner.observeStop(action, { kind: 'accepted', clockMs: nowMs }, at(nowMs));
      const worker = workers.get(action.worker.id);
      const run = worker?.runs.get(action.taskKey);
      if (worker !== undefined && run !== undefined) recordEnd(worker, run, 'stopped');
    });
    harness.store();
  };
  const runStep = () => {
    [...workers].forEach(([id, worker]) => {
      [...worker.runs.values()].forEach((run) => {
        if (run.end === undefined || nowMs < run.startedMs + run.end.afterMs) return;
        if (run.end.how === 'crash') stopWorker(id);
        else if (workers.has(id)) recordEnd(worker, run, run.end.how);
      });
    });
    [...down].forEach(([id, state]) => runDownWorker(id, state));
    workers.forEach((worker, id) => {
      if (nowMs >= worker.nextReportMs) sendReport(id, worker);
    });
    answerQueries();
    if (nowMs >= nextPlanMs) runPlan();
  };
  setWorkers(options.workers);
  return {
    harness,
    starts,
    crashes,
    crash: stopWorker,
    listWorkerIds: () => [...workers.keys()],
    setWorkers,
    runUntil: (untilMs) => {
      for (; nowMs < untilMs; nowMs += STEP_MS) runStep();
    },
    getNowMs: () => nowMs,
    submit: (spec, policy = POLICY) => {
      harness.submit(spec, nowMs, policy);
      nextPlanMs = nowMs;
    },
    getFirstStartMs: (jobId) => starts.find((start) => start.jobId === jobId)?.atMs,
  };
}
