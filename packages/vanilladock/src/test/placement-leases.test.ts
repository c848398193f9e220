/** Tests for lease timing: drift, takeover, grace period, and an exhaustive model of the fence. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import type { DutyView, WorkerContact } from '../lib/placement/leases.js';
import {
  classifyDuty,
  CLOCK_DRIFT_SHARE,
  computeSafeEnd,
  isWorkerLapsed,
  observeEcho,
  observeReport,
  STOP_MARGIN_MS,
  RENEWAL_GRACE_MS,
} from '../lib/placement/leases.js';

const LEASE_MS = 30_000;

const DUTY: DutyView = {
  duty: 'placement-0',
  fence: 7,
  sinceMs: 100_000,
  heldUntilMs: 105_000,
  isSuperseded: false,
  predecessorGraceMs: RENEWAL_GRACE_MS,
};

const makeReport = (reportId: string, fence: number) => ({
  reportId,
  plannerFences: { 'placement-0': fence },
  tasks: [],
});

const test = suite('placement leases');

test('a lease counts as lapsed only after the drift share and the margin', () => {
  const contact: WorkerContact = {
    reportId: 'r',
    receivedMs: 120_000,
    acceptedMs: 110_000,
    echoedMs: 120_000,
    renewedMs: 120_000,
  };
  const endMs = 120_000 + LEASE_MS * (1 + CLOCK_DRIFT_SHARE) + STOP_MARGIN_MS;
  assert.not.ok(isWorkerLapsed(DUTY, contact, LEASE_MS, endMs - 1));
  assert.ok(isWorkerLapsed(DUTY, contact, LEASE_MS, endMs));
});

test('after a takeover an unresponsive worker keeps its lease while the last planner may renew it', () => {
  const soonMs = DUTY.sinceMs + LEASE_MS * 2;
  assert.not.ok(isWorkerLapsed(DUTY, undefined, LEASE_MS, soonMs));
  const settled = { ...DUTY, predecessorGraceMs: 0 };
  assert.ok(isWorkerLapsed(settled, undefined, LEASE_MS, soonMs));
  const lateMs = DUTY.sinceMs + RENEWAL_GRACE_MS * (1 + CLOCK_DRIFT_SHARE);
  assert.not.ok(isWorkerLapsed(DUTY, undefined, LEASE_MS, lateMs));
  assert.ok(isWorkerLapsed(DUTY, undefined, LEASE_MS, computeSafeEnd(lateMs, LEASE_MS)));
});

test('once a worker has accepted the new planner, its lease counts from that report', () => {
  const first = observeReport(undefined, makeReport('r1', 3), DUTY, 101_000);
  assert.is(first.acceptedMs, undefined);
  const echoed = observeEcho(first);
  assert.not.ok(isWorkerLapsed(DUTY, echoed, LEASE_MS, 200_000));
  const second = observeReport(echoed, makeReport('r2', 7), DUTY, 106_000);
  assert.is(second.acceptedMs, 106_000);
  assert.not.ok(isWorkerLapsed(DUTY, second, LEASE_MS, 106_000 + LEASE_MS));
  assert.ok(isWorkerLapsed(DUTY, second, LEASE_MS, computeSafeEnd(106_000, LEASE_MS)));
});

test('a planner with a lapsed claim may only renew, and only in the grace period', () => {
  assert.is(classifyDuty(DUTY, 104_999), 'held');
  assert.is(classifyDuty(DUTY, 105_000), 'grace');
  assert.is(classifyDuty(DUTY, 105_000 + RENEWAL_GRACE_MS), 'lost');
  assert.is(classifyDuty({ ...DUTY, isSuperseded: true }, 101_000), 'lost');
});

/*
 * Model: two planners, two workers, one task. Time advances in steps of one; a lease lasts two. A
 * planner may be paused between its check of the claim and its command, so a command may arrive at
 * any later time, and a planner knows only the commands that it sent itself. A breadth-first search
 * must never reach a state in which the task runs on both workers at once.
 */
const MODEL_LEASE = 2;
const MODEL_END = 7;

interface Command {
  readonly token: number;
  readonly worker: 0 | 1;
  /** When the report that the command names was made. */
  readonly madeAt: number;
}

interface Model {
  readonly now: number;
  /** The planner with the current claim, and the time from which it holds it. */
  readonly holder: 0 | 1;
  readonly since: number;
  /** Newest lease of the task. */
  readonly lease: { readonly token: number; readonly worker: 0 | 1 };
  /** Start of the lease for each planner: its claim, or the newest report that it named. */
  readonly bases: readonly [number, number];
  readonly hasEnded: boolean;
  readonly inFlight: readonly Command[];
  /** Time at which each worker stops the task. */
  readonly runsUntil: readonly [number, number];
}

interface Guards {
  /** Records of a planner with a superseded claim are void. */
  readonly hasFence: boolean;
  /** A lease starts at the time of the report that the command names. */
  readonly hasReportTime: boolean;
  /** The planner waits until the lease has lapsed before it grants another. */
  readonly hasWait: boolean;
}

const isRunning = (model: Model, worker: 0 | 1): boolean => model.runsUntil[worker] > model.now;

const setLatest = (
  pair: readonly [number, number],
  index: 0 | 1,
  value: number,
): readonly [number, number] =>
  index === 0 ? [Math.max(pair[0], value), pair[1]] : [pair[0], Math.max(pair[1], value)];

/** Lists the states reachable by time, claims and the transport. */
const listEvents = (model: Model, guards: Guards): readonly Model[] => {
  const next: Model[] = [];
  const { now, inFlight, bases, runsUntil } = model;
  if (now < MODEL_END) next.push({ ...model, now: now + 1 });
  const other = model.holder === 0 ? 1 : 0;
  if (model.since < now) {
    next.push({ ...model, holder: other, since: now, bases: setLatest(bases, other, now) });
  }
  inFlight.forEach((command, index) => {
    const from = guards.hasReportTime ? command.madeAt : now;
    next.push({
      ...model,
      inFlight: inFlight.filter((_, position) => position !== index),
      runsUntil: setLatest(runsUntil, command.worker, from + MODEL_LEASE),
    });
  });
  return next;
};

/** Lists the states reachable by a planner's next append or command. */
const listActions = (model: Model, guards: Guards, planner: 0 | 1): readonly Model[] => {
  const next: Model[] = [];
  const { lease, now, inFlight, bases } = model;
  const isHolder = planner === model.holder;
  if (isHolder && !model.hasEnded && inFlight.length < 2) {
    const command = { token: lease.token, worker: lease.worker, madeAt: now };
    const renewed = setLatest(bases, planner, now);
    next.push({ ...model, bases: renewed, inFlight: [...inFlight, command] });
  }
  if (!isHolder && guards.hasFence) return next;
  const isLapsed = now >= bases[planner] + MODEL_LEASE;
  if (!model.hasEnded && (isLapsed || !guards.hasWait)) next.push({ ...model, hasEnded: true });
  if (model.hasEnded && lease.token < 2) {
    const worker = lease.worker === 0 ? 1 : 0;
    next.push({ ...model, hasEnded: false, lease: { token: lease.token + 1, worker } });
  }
  return next;
};

const listNext = (model: Model, guards: Guards): readonly Model[] => [
  ...listEvents(model, guards),
  ...listActions(model, guards, 0),
  ...listActions(model, guards, 1),
];

const findDoubleRun = (guards: Guards): { readonly states: number; readonly isFound: boolean } => {
  const first: Model = {
    now: 0,
    holder: 0,
    since: 0,
    lease: { token: 1, worker: 0 },
    bases: [0, 0],
    hasEnded: false,
    inFlight: [],
    runsUntil: [0, 0],
  };
  const seen = new Set([JSON.stringify(first)]);
  let frontier: readonly Model[] = [first];
  while (frontier.length > 0) {
    const reached: Model[] = [];
    for (const model of frontier) {
      if (isRunning(model, 0) && isRunning(model, 1)) return { states: seen.size, isFound: true };
      for (const candidate of listNext(model, guards)) {
        const key = JSON.stringify(candidate);
        if (!seen.has(key)) {
          seen.add(key);
          reached.push(candidate);
        }
      }
    }
    frontier = reached;
  }
  return { states: seen.size, isFound: false };
};

test('the exhaustive model finds no double run, and finds one when any guard is removed', () => {
  const guards: Guards = { hasFence: true, hasReportTime: true, hasWait: true };
  const guarded = findDoubleRun(guards);
  process.stdout.write(`lease model: ${guarded.states} states\n`);
  assert.not.ok(guarded.isFound);
  assert.ok(guarded.states > 1_000);
  assert.ok(findDoubleRun({ ...guards, hasFence: false }).isFound);
  assert.ok(findDoubleRun({ ...guards, hasReportTime: false }).isFound);
  assert.ok(findDoubleRun({ ...guards, hasWait: false }).isFound);
});

test.run();
