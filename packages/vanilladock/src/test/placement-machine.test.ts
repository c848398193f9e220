/**
 * State-machine test for placement: three planners share one fake log with lost and repeated
 * appends, lagging readers and outages; workers pause, and commands and whole rounds are delayed.
 */
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import type { PlacementDecision } from '../lib/placement/decisions.js';
import { findPlacementDuty } from '../lib/placement/duty.js';
import { foldPlacement } from '../lib/placement/fold.js';
import { RENEWAL_GRACE_MS } from '../lib/placement/leases.js';
import type { ReceivedReport } from '../lib/placement/plan-input.js';
import { createPlanner } from '../lib/placement/plan.js';
import type { PlacementRecord } from '../lib/placement/records.js';
import type { PlacementState } from '../lib/placement/state.js';
import { createPlacementState } from '../lib/placement/state.js';
import type { TaskReport, WorkerCommand, WorkerReport } from '../lib/ports/workers.js';
import { makeLease, makeOutcome, makeSize, makeSubmission } from './placement-fixtures.js';

const POOL = 'p';
const DUTY = findPlacementDuty(POOL);
const PLANNERS = 3;
const WORKERS = ['w0', 'w1'] as const;
const QUOTA_CORES = 5;
const CLAIM_MS = 5_000;
const LEASE_MS = 10_000;
const RUNS = 2_000;
const SEED = 20_260_101;

type Entry = PlacementRecord | { readonly kind: 'claim'; readonly planner: number };

/** Creates a worker that times leases on its own clock and rejects superseded planners. */
const createFakeWorker = (id: string) => {
  const reportTimes = new Map<string, number>();
  const tasks = new Map<number, { report: TaskReport; untilMs: number; cores: number }>();
  const used = new Set<number>();
  let fence = -1;
  let isPaused = false;
  const listRunning = (nowMs: number) =>
    [...tasks.values()].filter(({ report, untilMs }) => {
      return report.phase === 'running' && untilMs > nowMs;
    });
  const closeLapsed = (nowMs: number): void => {
    tasks.forEach((task, token) => {
      if (task.report.phase !== 'running' || task.untilMs > nowMs) return;
      tasks.set(token, { ...task, report: { ...task.report, phase: 'lapsed' } });
    });
  };
  const setPhase = (token: number, phase: TaskReport['phase']): void => {
    const task = tasks.get(token);
    if (task?.report.phase !== 'running') return;
    tasks.set(token, { ...task, report: { ...task.report, phase } });
  };
  return {
    apply: (command: WorkerCommand, nowMs: number): void => {
      closeLapsed(nowMs);
      const { plannerFence, reportId } = command.kind === 'renew-worker' ? command : command.lease;
      if (isPaused || plannerFence < fence) return;
      fence = plannerFence;
      const untilMs = (reportTimes.get(reportId) ?? -Infinity) + LEASE_MS;
      if (command.kind === 'renew-worker') {
        command.settled.forEach((token) => tasks.delete(token));
        tasks.forEach((task, token) => {
          tasks.set(token, { ...task, untilMs: Math.max(task.untilMs, untilMs) });
        });
        return;
      }
      const { taskId, fencingToken } = command.lease;
      if (command.kind === 'stop') {
        setPhase(fencingToken, 'stopped');
        return;
      }
      if (command.kind === 'checkpoint') setPhase(fencingToken, 'checkpointed');
      if (command.kind !== 'start' || used.has(fencingToken) || untilMs <= nowMs) return;
      used.add(fencingToken);
      const usage = makeSize(0.5);
      const report = { taskId, fencingToken, phase: 'running', used: usage, share: 1 } as const;
      tasks.set(fencingToken, { report, untilMs, cores: command.size.cores });
    },
    report: (nowMs: number): WorkerReport | undefined => {
      if (isPaused) return undefined;
      closeLapsed(nowMs);
      const reportId = `${id}/${reportTimes.size}`;
      reportTimes.set(reportId, nowMs);
      const reports = [...tasks.values()].map(({ report }) => report);
      return { reportId, plannerFences: { [DUTY]: fence }, tasks: reports };
    },
    finish: (phase: 'succeeded' | 'failed', nowMs: number): void => {
      const running = [...tasks].find(([, task]) => listRunning(nowMs).includes(task));
      if (running !== undefined && !isPaused) setPhase(running[0], phase);
    },
    setPaused: (paused: boolean): void => {
      isPaused = paused;
    },
    listRunning,
  };
};

interface Reader {
  readonly state: PlacementState;
  readonly applied: number;
  /** Offset and planner of the newest claim in the applied part of the log. */
  readonly claim: { readonly offset: number; readonly planner: number };
}

const NEW_READER: Reader = {
  state: createPlacementState(),
  applied: 0,
  claim: { offset: -1, planner: -1 },
};

const applyEntry = (reader: Reader, entry: Entry): Reader => {
  const offset = reader.applied;
  if (entry.kind === 'claim') {
    return { ...reader, applied: offset + 1, claim: { offset, planner: entry.planner } };
  }
  const rules = {
    getQuotaCores: () => QUOTA_CORES,
    getWeight: () => 1,
    isCurrentClaim: (_duty: string, fence: number) => fence === reader.claim.offset,
  };
  const state = foldPlacement(reader.state, { offset, record: entry }, rules);
  return { ...reader, state, applied: offset + 1 };
};

type Delivery = 'done' | 'lost' | 'twice' | 'late';

const createSimulation = () => {
  const log: Entry[] = [];
  const workers = WORKERS.map((id) => createFakeWorker(id));
  const delayed: (() => void)[] = [];
  let latest = NEW_READER;
  let nowMs = 0;
  let isStoreAvailable = true;
  let heldUntilMs = 0;
  let submitted = 0;
  const accepted = new Set<string>();
  const planners = Array.from({ length: PLANNERS }, (_, index) => ({
    index,
    reader: NEW_READER,
    planner: createPlanner(`e${index}`),
    fence: -1,
    sinceMs: 0,
    heldUntilMs: 0,
    hasPredecessor: false,
    reports: new Map<string, ReceivedReport>(),
  }));
  const append = (entry: Entry): void => {
    if (!isStoreAvailable) return;
    log.push(entry);
    latest = applyEntry(latest, entry);
    if (entry.kind === 'task.submission') accepted.add(entry.taskId);
  };
  const runLater = (delivery: Delivery, run: () => void): void => {
    if (delivery === 'late') delayed.push(run);
    if (delivery === 'done' || delivery === 'twice') run();
    if (delivery === 'twice') run();
  };
  const applyDecisions = (
    decisions: readonly PlacementDecision[],
    deliveries: readonly Delivery[],
  ): void => {
    decisions.forEach((decision, position) => {
      const delivery = deliveries[position % deliveries.length] ?? 'done';
      runLater(delivery, () => {
        if (decision.kind !== 'command') append(decision.record);
        else workers[WORKERS.indexOf(decision.workerId as 'w0')]?.apply(decision.command, nowMs);
      });
    });
  };
  return {
    log,
    addTime: (ms: number): void => {
      nowMs += ms;
    },
    setStoreAvailable: (isAvailable: boolean): void => {
      isStoreAvailable = isAvailable;
    },
    submitTask: (cores: number): void => {
      submitted += 1;
      append(makeSubmission(`t${submitted}`, { declared: makeSize(cores), pool: POOL }));
    },
    cancelTask: (number: number): void => {
      const head = { version: 1, id: `c${number}`, by: 'x', at: 0 } as const;
      append({ ...head, kind: 'task.cancellation', taskId: `t${number}` });
    },
    /** Applies the next entries of the log to a planner's reader. */
    readLog: (index: number, count: number): void => {
      const host = planners[index];
      if (host === undefined || !isStoreAvailable) return;
      const entries = log.slice(host.reader.applied, host.reader.applied + count);
      host.reader = entries.reduce(applyEntry, host.reader);
    },
    /** Claims the duty once every earlier claim has lapsed, and reads the claim back. */
    claimDuty: (index: number): void => {
      const host = planners[index];
      if (host === undefined || !isStoreAvailable || nowMs < heldUntilMs) return;
      const hasPredecessor = latest.claim.offset >= 0;
      append({ kind: 'claim', planner: index });
      heldUntilMs = nowMs + CLAIM_MS;
      host.fence = latest.claim.offset;
      host.sinceMs = nowMs;
      host.heldUntilMs = heldUntilMs;
      host.hasPredecessor = hasPredecessor;
      host.planner = createPlanner(`e${index}`);
      host.reports.clear();
      host.reader = log.slice(host.reader.applied).reduce(applyEntry, host.reader);
    },
    refreshClaim: (index: number): void => {
      const host = planners[index];
      if (host === undefined || !isStoreAvailable || latest.claim.offset !== host.fence) return;
      heldUntilMs = nowMs + CLAIM_MS;
      host.heldUntilMs = heldUntilMs;
    },
    runRound: (index: number, deliveries: readonly Delivery[], isDelayed: boolean): void => {
      const host = planners[index];
      if (host === undefined || host.fence < 0) return;
      const { claim, state } = host.reader;
      const decisions = host.planner.plan({
        state,
        rules: {
          getQuotaCores: () => QUOTA_CORES,
          getWeight: () => 1,
          isCurrentClaim: () => true,
        },
        duty: {
          duty: DUTY,
          fence: host.fence,
          sinceMs: host.sinceMs,
          heldUntilMs: host.heldUntilMs,
          isSuperseded: claim.offset > host.fence,
          predecessorGraceMs: host.hasPredecessor ? RENEWAL_GRACE_MS : 0,
        },
        pools: [
          {
            name: POOL,
            workers: WORKERS.map((id) => ({
              id,
              location: { region: 'r', dataCentre: 'd', rack: id },
              capacity: makeSize(4),
              isOpen: true,
            })),
            urgentReserveShare: 0,
            taskLeaseMs: LEASE_MS,
          },
        ],
        reports: host.reports,
        nowMs,
        at: 0,
      });
      if (isDelayed) delayed.push(() => applyDecisions(decisions, deliveries));
      else applyDecisions(decisions, deliveries);
    },
    observeReport: (worker: number, index: number): void => {
      const report = workers[worker]?.report(nowMs);
      if (report === undefined) return;
      planners[index]?.reports.set(WORKERS[worker] ?? '', { report, receivedMs: nowMs });
    },
    /**
     * Appends a lease by a planner with the current claim but a faulty view; the fold checks it.
     */
    appendRogueLease: (number: number, workerId: string): void => {
      const task = latest.state.tasks.get(`t${number}`);
      if (task === undefined || task.lease !== undefined) return;
      const size = task.declared;
      const { newestLease: follows } = task;
      const id = `rogue-${log.length}`;
      append(makeLease(task.taskId, { id, workerId, size, follows, fence: latest.claim.offset }));
    },
    /** Appends a lapse recorded by a planner that resumes with a superseded claim. */
    appendStaleEnd: (number: number): void => {
      const task = latest.state.tasks.get(`t${number}`);
      if (task?.lease === undefined) return;
      const fence = latest.claim.offset - 1;
      append(
        makeOutcome(task.taskId, task.lease.offset, 'lapsed', { id: `x${log.length}`, fence }),
      );
    },
    runDelayed: (): void => delayed.shift()?.(),
    finishTask: (worker: number, phase: 'succeeded' | 'failed'): void =>
      workers[worker]?.finish(phase, nowMs),
    setPaused: (worker: number, isPaused: boolean): void => workers[worker]?.setPaused(isPaused),
    /** Checks the invariants that hold after every step. */
    checkInvariants: (): { readonly starts: number } => {
      const running = workers.flatMap((worker) => worker.listRunning(nowMs));
      const ids = running.map(({ report }) => report.taskId);
      assert.is(new Set(ids).size, ids.length, `a task runs twice: ${ids.join(', ')}`);
      const cores = running.reduce((sum, task) => sum + task.cores, 0);
      assert.ok(cores <= QUOTA_CORES, `${cores} cores run beyond the quota`);
      const held = latest.state.teams.get('stalls')?.heldCores ?? 0;
      assert.ok(held <= QUOTA_CORES, `${held} cores are leased beyond the quota`);
      accepted.forEach((taskId) => {
        const isKnown = latest.state.tasks.has(taskId) || latest.state.finished.has(taskId);
        assert.ok(isKnown, `the accepted task ${taskId} is lost`);
      });
      return { starts: running.length };
    },
  };
};

type Simulation = ReturnType<typeof createSimulation>;
type Step = (simulation: Simulation) => void;

const planner = fc.nat(PLANNERS - 1);
const worker = fc.nat(WORKERS.length - 1);
const deliveries = fc.array(
  fc.constantFrom<Delivery>('done', 'done', 'done', 'lost', 'twice', 'late'),
  {
    minLength: 1,
    maxLength: 4,
  },
);

/** Runs two rounds of a healthy planner. */
const runCycle =
  (index: number, delivery: readonly Delivery[]): Step =>
  (simulation) => {
    simulation.claimDuty(index);
    simulation.refreshClaim(index);
    simulation.addTime(500);
    WORKERS.forEach((_id, position) => simulation.observeReport(position, index));
    simulation.readLog(index, Infinity);
    simulation.runRound(index, delivery, false);
    simulation.readLog(index, Infinity);
    simulation.runRound(index, delivery, false);
  };

/** Runs a partition: one planner reaches one worker, another the log and the other worker. */
const runPartition =
  (cutOff: number, other: number, reachable: number, times: number): Step =>
  (simulation) => {
    if (cutOff === other) return;
    for (let time = 0; time < times; time += 1) {
      simulation.addTime(2_000);
      simulation.observeReport(reachable, cutOff);
      simulation.runRound(cutOff, ['done'], false);
      simulation.claimDuty(other);
      simulation.refreshClaim(other);
      simulation.readLog(other, Infinity);
      simulation.observeReport(1 - reachable, other);
      simulation.runRound(other, ['done'], false);
    }
  };

const number = fc.integer({ min: 1, max: 6 });

const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 2,
    arbitrary: fc
      .tuple(planner, planner, worker, fc.integer({ min: 1, max: 12 }))
      .map(([a, b, w, times]): Step => runPartition(a, b, w, times)),
  },
  {
    weight: 1,
    arbitrary: fc.tuple(number, worker).map(
      ([n, w]): Step =>
        (simulation) =>
          simulation.appendRogueLease(n, WORKERS[w] ?? 'w0'),
    ),
  },
  {
    weight: 1,
    arbitrary: number.map(
      (n): Step =>
        (simulation) =>
          simulation.appendStaleEnd(n),
    ),
  },
  {
    weight: 12,
    arbitrary: fc.tuple(planner, deliveries).map(([p, f]): Step => runCycle(p, f)),
  },
  {
    weight: 4,
    arbitrary: fc.nat(8_000).map(
      (ms): Step =>
        (simulation) =>
          simulation.addTime(ms),
    ),
  },
  {
    weight: 2,
    arbitrary: fc.integer({ min: 1, max: 4 }).map(
      (n): Step =>
        (w) =>
          w.submitTask(n),
    ),
  },
  {
    weight: 1,
    arbitrary: fc.integer({ min: 1, max: 6 }).map(
      (n): Step =>
        (w) =>
          w.cancelTask(n),
    ),
  },
  {
    weight: 2,
    arbitrary: planner.map(
      (p): Step =>
        (simulation) =>
          simulation.claimDuty(p),
    ),
  },
  {
    weight: 4,
    arbitrary: planner.map(
      (p): Step =>
        (simulation) =>
          simulation.refreshClaim(p),
    ),
  },
  {
    weight: 6,
    arbitrary: fc.tuple(planner, fc.nat(20)).map(
      ([p, n]): Step =>
        (simulation) =>
          simulation.readLog(p, n),
    ),
  },
  {
    weight: 8,
    arbitrary: fc.tuple(planner, deliveries, fc.nat(5)).map(
      ([p, f, n]): Step =>
        (simulation) =>
          simulation.runRound(p, f, n === 0),
    ),
  },
  {
    weight: 8,
    arbitrary: fc.tuple(worker, planner).map(
      ([w, p]): Step =>
        (simulation) =>
          simulation.observeReport(w, p),
    ),
  },
  { weight: 3, arbitrary: fc.constant<Step>((simulation) => simulation.runDelayed()) },
  {
    weight: 2,
    arbitrary: fc.tuple(worker, fc.constantFrom('succeeded' as const, 'failed' as const)).map(
      ([w, phase]): Step =>
        (simulation) =>
          simulation.finishTask(w, phase),
    ),
  },
  {
    weight: 1,
    arbitrary: fc.tuple(worker, fc.boolean()).map(
      ([w, isPaused]): Step =>
        (simulation) =>
          simulation.setPaused(w, isPaused),
    ),
  },
  {
    weight: 1,
    arbitrary: fc.boolean().map(
      (isAvailable): Step =>
        (simulation) =>
          simulation.setStoreAvailable(isAvailable),
    ),
  },
);

const test = suite('placement machine');

test('no interleaving runs a task twice, exceeds a quota or loses an accepted task', () => {
  let stepsWithWork = 0;
  const property = fc.property(fc.array(step, { minLength: 40, maxLength: 120 }), (steps) => {
    const simulation = createSimulation();
    simulation.submitTask(2);
    simulation.claimDuty(0);
    steps.forEach((run) => {
      run(simulation);
      if (simulation.checkInvariants().starts > 0) stepsWithWork += 1;
    });
  });
  fc.assert(property, { numRuns: RUNS, seed: SEED });
  process.stdout.write(`${RUNS} interleavings, ${stepsWithWork} steps with work running\n`);
  assert.ok(stepsWithWork > RUNS, 'too few interleavings reach the point where work runs');
});

test.run();
