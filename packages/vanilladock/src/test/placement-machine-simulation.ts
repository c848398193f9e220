/**
 * Simulation of the placement machine: three planners share one fake log with lost and repeated
 * appends, lagging readers and outages; workers pause, and commands and whole rounds are delayed.
 */
import * as assert from 'uvu/assert';
import type { PlacementDecision } from '../lib/placement/decisions.js';
import { foldPlacement } from '../lib/placement/fold.js';
import { RENEWAL_GRACE_MS } from '../lib/placement/leases.js';
import type { ReceivedReport } from '../lib/placement/plan-input.js';
import { createPlanner } from '../lib/placement/plan.js';
import type { PlacementRecord } from '../lib/placement/records.js';
import type { PlacementState } from '../lib/placement/state.js';
import { createPlacementState } from '../lib/placement/state.js';
import { makeLease, makeOutcome, makeSize, makeSubmission } from './placement-fixtures.js';
import { createFakeWorker, DUTY, LEASE_MS, POOL } from './placement-machine-worker.js';

export const PLANNERS = 3;
export const WORKERS = ['w0', 'w1'] as const;
const QUOTA_CORES = 5;
const CLAIM_MS = 5_000;

type Entry = PlacementRecord | { readonly kind: 'claim'; readonly planner: number };

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

/** What becomes of a decision on its way to the log or to a worker. */
export type Delivery = 'done' | 'lost' | 'twice' | 'late';

export const createSimulation = () => {
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

export type Simulation = ReturnType<typeof createSimulation>;
