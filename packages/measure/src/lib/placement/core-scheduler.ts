/**
 * Drives the decision core in the placement measurement: eight entries share sixteen duties and one
 * fake log. Appends are delayed and may be lost or duplicated, claims expire while their holder is
 * paused, and the store may be unavailable. All entries share one folded state, so replication lag
 * is not simulated.
 */
import type { PlacementDecision } from 'vanilladock/lib/placement/decisions.js';
import { admitTask } from 'vanilladock/lib/placement/admit.js';
import { findPlacementDuty } from 'vanilladock/lib/placement/duty.js';
import { foldPlacement } from 'vanilladock/lib/placement/fold.js';
import { RENEWAL_GRACE_MS } from 'vanilladock/lib/placement/leases.js';
import type { PoolView, ReceivedReport } from 'vanilladock/lib/placement/plan-input.js';
import { createPlanner } from 'vanilladock/lib/placement/plan.js';
import type { Planner } from 'vanilladock/lib/placement/plan.js';
import type { PlacementRecord, SubmissionRecord } from 'vanilladock/lib/placement/records.js';
import { addResources } from 'vanilladock/lib/placement/resources.js';
import { createPlacementState, NO_RESOURCES } from 'vanilladock/lib/placement/state.js';
import type { PlacementRules } from 'vanilladock/lib/placement/state.js';
import type { Random, Resources } from 'vanilladock';
import type { PollReport, Scheduler, SendCommand } from './scheduler.js';
import { TEAM_QUOTA_CORES } from './workload.js';
import type { WorkTask } from './workload.js';

const ENTRIES = 8;
const CLAIM_VALIDITY_MS = 5_000;
const CLAIM_MARGIN_MS = 500;
const DUPLICATE_DELAY_MS = 15_000;
const APPEND_MIN_MS = 80;
const APPEND_SPREAD_MS = 220;
const LOST_APPEND_SHARE = 0.01;
const DUPLICATED_APPEND_SHARE = 0.01;
const SUPERSEDED_NOTICE_MS = 1_000;
const CHECKPOINT_POLL_DELAY_MS = 2_750;

/** A duty, the entry that claimed it and the planner by which the entry runs it. */
interface EntryDuty {
  readonly name: string;
  readonly pools: readonly PoolView[];
  readonly owner: number;
  readonly planner: Planner;
  /** Log offset of the claim. */
  readonly fence: number;
  /** Time of the claim. */
  readonly sinceMs: number;
  /** Time at which the claim expires unless it is renewed. */
  readonly heldUntilMs: number;
  readonly predecessorGraceMs: number;
  readonly reports: Map<string, ReceivedReport>;
}

/** An append that has not taken effect yet; a lost one never does. */
interface PendingAppend {
  readonly storedAtMs: number;
  readonly records: readonly PlacementRecord[];
  readonly isLost: boolean;
}

/**
 * Creates a scheduler around the decision core; `onDecision` receives every decision of its
 * planners.
 */
export function createCoreScheduler(
  pools: readonly PoolView[],
  random: Random,
  send: SendCommand,
  poll: PollReport,
  onDecision: (decision: PlacementDecision) => void,
): Scheduler {
  const poolsByName = new Map(pools.map((pool) => [pool.name, pool]));
  const dutyOfWorker = new Map(
    pools.flatMap(({ name, workers }) => workers.map(({ id }) => [id, findPlacementDuty(name)])),
  );
  const duties = new Map<string, EntryDuty>();
  /** Duties whose planner has not yet learned that its claim was superseded. */
  let supersededDuties: readonly { readonly duty: EntryDuty; readonly untilMs: number }[] = [];
  const pausedUntil = new Map<number, number>();
  let deferredRuns: readonly { readonly atMs: number; readonly run: () => void }[] = [];
  let pendingAppends: readonly PendingAppend[] = [];
  const pendingQuick = new Map<string, { readonly taskId: string; readonly size: Resources }[]>();
  const accepted = new Set<string>();
  let state = createPlacementState();
  let offset = 0;
  let submissions = 0;
  let isStoreAvailable = true;
  let lastStoreResponseMs = 0;

  const rules: PlacementRules = {
    getQuotaCores: () => TEAM_QUOTA_CORES,
    getWeight: () => 1,
    isCurrentClaim: (duty, fence) => duties.get(duty)?.fence === fence,
  };

  const isPaused = (entry: number, nowMs: number): boolean =>
    nowMs < (pausedUntil.get(entry) ?? -1);

  const openDuty = (name: string, owner: number, nowMs: number, graceMs: number): void => {
    const fence = offset;
    offset += 1;
    duties.set(name, {
      name,
      pools: pools.filter((pool) => findPlacementDuty(pool.name) === name),
      owner,
      planner: createPlanner(`entry-${owner}`),
      fence,
      sinceMs: nowMs,
      heldUntilMs: nowMs + CLAIM_VALIDITY_MS,
      predecessorGraceMs: graceMs,
      reports: new Map(),
    });
  };

  /** Moves a duty to another entry; the previous owner learns of it after a delay. */
  const takeOverDuty = (duty: EntryDuty, nowMs: number): void => {
    const candidates = Array.from({ length: ENTRIES }, (_, index) => index).filter(
      (entry) => entry !== duty.owner && !isPaused(entry, nowMs),
    );
    const owner = candidates[Math.floor(random() * candidates.length)];
    if (owner === undefined) return;
    const noticedAtMs = Math.max(nowMs, pausedUntil.get(duty.owner) ?? 0) + SUPERSEDED_NOTICE_MS;
    supersededDuties = [...supersededDuties, { duty, untilMs: noticedAtMs }];
    openDuty(duty.name, owner, nowMs, RENEWAL_GRACE_MS);
    duty.pools.forEach(({ workers }) => workers.forEach(({ id }) => poll(id, 0)));
  };

  const append = (records: readonly PlacementRecord[], nowMs: number): void => {
    if (records.length === 0) return;
    const storedAtMs = nowMs + APPEND_MIN_MS + random() * APPEND_SPREAD_MS;
    pendingAppends = [
      ...pendingAppends,
      { storedAtMs, records, isLost: random() < LOST_APPEND_SHARE },
    ];
    if (random() < DUPLICATED_APPEND_SHARE) {
      pendingAppends = [
        ...pendingAppends,
        { storedAtMs: storedAtMs + DUPLICATE_DELAY_MS, records, isLost: false },
      ];
    }
  };

  /** Folds the appends that are stored by now; they are lost while the store is unavailable. */
  const applyAppends = (nowMs: number): void => {
    const storedAppends = pendingAppends.filter(({ storedAtMs }) => storedAtMs <= nowMs);
    if (storedAppends.length === 0) return;
    pendingAppends = pendingAppends.filter(({ storedAtMs }) => storedAtMs > nowMs);
    if (!isStoreAvailable) return;
    storedAppends
      .filter(({ isLost }) => !isLost)
      .flatMap(({ records }) => records)
      .forEach((record) => {
        state = foldPlacement(state, { offset, record }, rules);
        offset += 1;
        if (record.kind === 'task.submission' && state.tasks.has(record.taskId)) {
          accepted.add(record.taskId);
        }
      });
  };

  const runDecisions = (
    duty: EntryDuty,
    decisions: readonly PlacementDecision[],
    nowMs: number,
  ) => {
    const records: PlacementRecord[] = [];
    decisions.forEach((decision) => {
      onDecision(decision);
      if (decision.kind !== 'command') {
        records.push(decision.record);
        return;
      }
      const { workerId, command } = decision;
      if (command.kind === 'checkpoint') poll(workerId, CHECKPOINT_POLL_DELAY_MS);
      send(workerId, command, (answer) => {
        duty.planner.observeAnswer(workerId, command, answer === 'lost' ? 'unknown' : answer);
      });
    });
    append(records, nowMs);
  };

  const planDuty = (duty: EntryDuty, nowMs: number): readonly PlacementDecision[] =>
    duty.planner.plan({
      state,
      rules,
      duty: {
        duty: duty.name,
        fence: duty.fence,
        sinceMs: duty.sinceMs,
        heldUntilMs: duty.heldUntilMs,
        isSuperseded: false,
        predecessorGraceMs: duty.predecessorGraceMs,
      },
      pools: duty.pools,
      reports: duty.reports,
      nowMs,
      at: nowMs,
    });

  const refreshDuty = (duty: EntryDuty, nowMs: number): EntryDuty => {
    if (!isStoreAvailable || isPaused(duty.owner, nowMs)) return duty;
    const refreshed = { ...duty, heldUntilMs: nowMs + CLAIM_VALIDITY_MS };
    duties.set(duty.name, refreshed);
    return refreshed;
  };

  [...new Set(pools.map(({ name }) => findPlacementDuty(name)))].forEach((name, index) => {
    openDuty(name, index % ENTRIES, 0, 0);
  });

  return {
    submitTask: (task: WorkTask, nowMs) => {
      const entry = Math.floor(random() * ENTRIES);
      const key = `${entry}/${task.pool}`;
      const pending = (pendingQuick.get(key) ?? []).filter(
        ({ taskId }) => !accepted.has(taskId) && !state.finished.has(taskId),
      );
      submissions += 1;
      const submission: SubmissionRecord = {
        kind: 'task.submission',
        version: 1,
        id: `submission-${submissions}`,
        by: `entry-${entry}`,
        at: nowMs,
        taskId: task.taskId,
        team: task.team,
        urgency: task.urgency,
        taskKind: task.taskKind,
        pool: task.pool,
        declared: task.declared,
      };
      const admitted = admitTask(
        {
          state,
          rules,
          pool: poolsByName.get(task.pool),
          submission,
          pendingQuick: pending.map(({ size }) => size).reduce(addResources, NO_RESOURCES),
          lastStoreResponseMs,
          nowMs,
        },
        random,
      );
      if (admitted.isErr()) return admitted.error.code;
      if (task.urgency === 'quick') {
        const size = state.kinds.get(task.taskKind)?.estimate ?? task.declared;
        pendingQuick.set(key, [...pending.slice(-20), { taskId: task.taskId, size }]);
      }
      append([submission], nowMs);
      return undefined;
    },
    cancelTask: (taskId, nowMs) => {
      const envelope = { version: 1, id: `cancel-${taskId}`, by: 'caller', at: nowMs } as const;
      append([{ ...envelope, kind: 'task.cancellation', taskId }], nowMs);
    },
    observeReport: (workerId, report, nowMs) => {
      const duty = duties.get(dutyOfWorker.get(workerId) ?? '');
      if (duty === undefined || isPaused(duty.owner, nowMs)) return;
      duty.reports.set(workerId, { report, receivedMs: nowMs });
    },
    runRound: (nowMs) => {
      applyAppends(nowMs);
      if (isStoreAvailable) lastStoreResponseMs = nowMs;
      deferredRuns.filter(({ atMs }) => atMs <= nowMs).forEach(({ run }) => run());
      deferredRuns = deferredRuns.filter(({ atMs }) => atMs > nowMs);
      supersededDuties = supersededDuties.filter(({ untilMs }) => nowMs < untilMs);
      supersededDuties.forEach(({ duty }) => {
        if (!isPaused(duty.owner, nowMs)) runDecisions(duty, planDuty(duty, nowMs), nowMs);
      });
      [...duties.values()].forEach((duty) => {
        const refreshed = refreshDuty(duty, nowMs);
        if (!isPaused(duty.owner, nowMs)) {
          runDecisions(refreshed, planDuty(refreshed, nowMs), nowMs);
        } else if (isStoreAvailable && nowMs > duty.heldUntilMs + CLAIM_MARGIN_MS) {
          takeOverDuty(duty, nowMs);
        }
      });
    },
    setStoreAvailable: (isAvailable, nowMs) => {
      isStoreAvailable = isAvailable;
      if (!isAvailable) return;
      [...duties.values()]
        .filter((_, index) => index % 2 === 0)
        .forEach((duty) => {
          takeOverDuty(duty, nowMs);
        });
    },
    pauseEntry: (entry, nowMs, untilMs) => {
      const staleRuns = [...duties.values()]
        .filter(({ owner }) => owner === entry)
        .map((duty) => {
          const decisions = planDuty(duty, nowMs);
          return { atMs: untilMs, run: () => runDecisions(duty, decisions, untilMs) };
        });
      deferredRuns = [...deferredRuns, ...staleRuns];
      pausedUntil.set(entry, untilMs);
    },
    isAccepted: (taskId) =>
      accepted.has(taskId) && state.finished.get(taskId)?.result !== 'never-runnable',
  };
}
