/**
 * Drives the decision core in the placement measurement: eight entries that share sixteen duties, one
 * fake log whose appends take time and may be lost or repeated, claims that lapse when their holder is
 * paused, and a store that may be down. All entries see one fold, as if none lagged behind.
 */
import type { PlacementDecision } from 'vanilladock/lib/placement/decisions.js';
import { admitTask } from 'vanilladock/lib/placement/admit.js';
import { findPlacementDuty } from 'vanilladock/lib/placement/duty.js';
import { foldPlacement } from 'vanilladock/lib/placement/fold.js';
import { STRETCH_LIMIT_MS } from 'vanilladock/lib/placement/leases.js';
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
const CLAIM_MS = 5_000;
const CLAIM_MARGIN_MS = 500;
const REPEATED_AFTER_MS = 15_000;
const APPEND_MIN_MS = 80;
const APPEND_SPREAD_MS = 220;
const LOST_SHARE = 0.01;
const REPEATED_SHARE = 0.01;
const SEEN_LATE_MS = 1_000;
const CHECKPOINT_POLL_MS = 2_250;

interface Duty {
  readonly name: string;
  readonly pools: readonly PoolView[];
  readonly owner: number;
  readonly planner: Planner;
  readonly fence: number;
  readonly sinceMs: number;
  readonly heldUntilMs: number;
  readonly predecessorStretchMs: number;
  readonly reports: Map<string, ReceivedReport>;
}

interface Append {
  readonly landsMs: number;
  readonly records: readonly PlacementRecord[];
  readonly isLost: boolean;
}

/** Creates a scheduler around the decision core. */
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
  const duties = new Map<string, Duty>();
  /** Planners whose claim was superseded and that do not know it yet. */
  let outdated: readonly { readonly duty: Duty; readonly untilMs: number }[] = [];
  const pausedUntil = new Map<number, number>();
  let held: readonly { readonly atMs: number; readonly run: () => void }[] = [];
  let appends: readonly Append[] = [];
  const pendingQuick = new Map<string, { readonly taskId: string; readonly size: Resources }[]>();
  const accepted = new Set<string>();
  let state = createPlacementState();
  let offset = 0;
  let submissions = 0;
  let isStoreUp = true;
  let storeAnsweredMs = 0;

  const rules: PlacementRules = {
    getQuotaCores: () => TEAM_QUOTA_CORES,
    getWeight: () => 1,
    isCurrentClaim: (duty, fence) => duties.get(duty)?.fence === fence,
  };

  const isPaused = (entry: number, nowMs: number): boolean =>
    nowMs < (pausedUntil.get(entry) ?? -1);

  const openDuty = (name: string, owner: number, nowMs: number, stretchMs: number): void => {
    const fence = offset;
    offset += 1;
    duties.set(name, {
      name,
      pools: pools.filter((pool) => findPlacementDuty(pool.name) === name),
      owner,
      planner: createPlanner(`entry-${owner}`),
      fence,
      sinceMs: nowMs,
      heldUntilMs: nowMs + CLAIM_MS,
      predecessorStretchMs: stretchMs,
      reports: new Map(),
    });
  };

  /** Moves a duty to another entry; the former owner learns of it a little later. */
  const takeOverDuty = (duty: Duty, nowMs: number): void => {
    const candidates = Array.from({ length: ENTRIES }, (_, index) => index).filter(
      (entry) => entry !== duty.owner && !isPaused(entry, nowMs),
    );
    const owner = candidates[Math.floor(random() * candidates.length)];
    if (owner === undefined) return;
    const lateMs = Math.max(nowMs, pausedUntil.get(duty.owner) ?? 0) + SEEN_LATE_MS;
    outdated = [...outdated, { duty, untilMs: lateMs }];
    openDuty(duty.name, owner, nowMs, STRETCH_LIMIT_MS);
    duty.pools.forEach(({ workers }) => workers.forEach(({ id }) => poll(id, 0)));
  };

  const append = (records: readonly PlacementRecord[], nowMs: number): void => {
    if (records.length === 0) return;
    const landsMs = nowMs + APPEND_MIN_MS + random() * APPEND_SPREAD_MS;
    appends = [...appends, { landsMs, records, isLost: random() < LOST_SHARE }];
    if (random() < REPEATED_SHARE) {
      appends = [...appends, { landsMs: landsMs + REPEATED_AFTER_MS, records, isLost: false }];
    }
  };

  /** Folds the appends that have landed. */
  const applyAppends = (nowMs: number): void => {
    const landed = appends.filter(({ landsMs }) => landsMs <= nowMs);
    if (landed.length === 0) return;
    appends = appends.filter(({ landsMs }) => landsMs > nowMs);
    if (!isStoreUp) return;
    landed
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

  const runDecisions = (duty: Duty, decisions: readonly PlacementDecision[], nowMs: number) => {
    const records: PlacementRecord[] = [];
    decisions.forEach((decision) => {
      onDecision(decision);
      if (decision.kind !== 'command') {
        records.push(decision.record);
        return;
      }
      const { workerId, command } = decision;
      if (command.kind === 'checkpoint') poll(workerId, CHECKPOINT_POLL_MS);
      send(workerId, command, (answer) => {
        duty.planner.observeAnswer(workerId, command, answer === 'lost' ? 'unknown' : answer);
      });
    });
    append(records, nowMs);
  };

  const planDuty = (duty: Duty, nowMs: number): readonly PlacementDecision[] =>
    duty.planner.plan({
      state,
      rules,
      duty: {
        duty: duty.name,
        fence: duty.fence,
        sinceMs: duty.sinceMs,
        heldUntilMs: duty.heldUntilMs,
        isSuperseded: false,
        predecessorStretchMs: duty.predecessorStretchMs,
      },
      pools: duty.pools,
      reports: duty.reports,
      nowMs,
      at: nowMs,
    });

  const refreshDuty = (duty: Duty, nowMs: number): Duty => {
    if (!isStoreUp || isPaused(duty.owner, nowMs)) return duty;
    const refreshed = { ...duty, heldUntilMs: nowMs + CLAIM_MS };
    duties.set(duty.name, refreshed);
    return refreshed;
  };

  [...new Set(pools.map(({ name }) => findPlacementDuty(name)))].forEach((name, index) => {
    openDuty(name, index % ENTRIES, 0, 0);
  });

  return {
    takeTask: (task: WorkTask, nowMs) => {
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
          storeAnsweredMs,
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
      const head = { version: 1, id: `cancel-${taskId}`, by: 'caller', at: nowMs } as const;
      append([{ ...head, kind: 'task.cancellation', taskId }], nowMs);
    },
    observeReport: (workerId, report, nowMs) => {
      const duty = duties.get(dutyOfWorker.get(workerId) ?? '');
      if (duty === undefined || isPaused(duty.owner, nowMs)) return;
      duty.reports.set(workerId, { report, receivedMs: nowMs });
    },
    runRound: (nowMs) => {
      applyAppends(nowMs);
      if (isStoreUp) storeAnsweredMs = nowMs;
      held.filter(({ atMs }) => atMs <= nowMs).forEach(({ run }) => run());
      held = held.filter(({ atMs }) => atMs > nowMs);
      outdated = outdated.filter(({ untilMs }) => nowMs < untilMs);
      outdated.forEach(({ duty }) => {
        if (!isPaused(duty.owner, nowMs)) runDecisions(duty, planDuty(duty, nowMs), nowMs);
      });
      [...duties.values()].forEach((duty) => {
        const refreshed = refreshDuty(duty, nowMs);
        if (!isPaused(duty.owner, nowMs)) {
          runDecisions(refreshed, planDuty(refreshed, nowMs), nowMs);
        } else if (isStoreUp && nowMs > duty.heldUntilMs + CLAIM_MARGIN_MS) {
          takeOverDuty(duty, nowMs);
        }
      });
    },
    setStoreUp: (isUp, nowMs) => {
      isStoreUp = isUp;
      if (!isUp) return;
      [...duties.values()]
        .filter((_, index) => index % 2 === 0)
        .forEach((duty) => {
          takeOverDuty(duty, nowMs);
        });
    },
    pauseEntry: (entry, nowMs, untilMs) => {
      const stale = [...duties.values()]
        .filter(({ owner }) => owner === entry)
        .map((duty) => {
          const decisions = planDuty(duty, nowMs);
          return { atMs: untilMs, run: () => runDecisions(duty, decisions, untilMs) };
        });
      held = [...held, ...stale];
      pausedUntil.set(entry, untilMs);
    },
    isAccepted: (taskId) =>
      accepted.has(taskId) && state.finished.get(taskId)?.result !== 'never-runnable',
  };
}
