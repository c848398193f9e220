/**
 * Carries out open permits, one pure step at a time: drain with tasks checkpointed first, reboot,
 * wait for an observed return, restore, write the outcome. Every operation is idempotent by its permit
 * id and is sent again until confirmed, so an executor that takes over simply starts from the drain. When the platform
 * refuses that, the permit has ended there, and is given back: at worst an instance is rebooted twice.
 * A confirmed restore ends the permit at the platform as well: an older executor that wakes later with
 * a reboot in hand is refused. Hence a permit is given back only after its restore was confirmed.
 */
import { Map } from 'immutable';
import type { Instance } from '../topology.js';
import type { CapacityState } from './capacity.js';
import { countRoom, type OpenPermit } from './fold.js';
import { isInLostDomain, isLive, listLostDomains, type ListReading } from './losses.js';
import type { MaintenancePolicy, PolicyOf } from './policy.js';
import type { PermitResult } from './waves.js';

/** Operations of the platform that a permit needs. */
export type PermitOperation = 'drain' | 'reboot' | 'restore';

/** Why a permit ends. */
export type OutcomeReason =
  | 'seen-after-reboot'
  | 'drain-limit'
  | 'budget-lost-before-reboot'
  | 'reboot-limit'
  | 'ended-before';

/** What the executor asks for. */
export type PermitAction =
  | {
      readonly kind: 'operation';
      readonly operation: PermitOperation;
      readonly instanceId: string;
      readonly permitId: string;
    }
  /** Asks placement to checkpoint or move the instance's tasks. */
  | { readonly kind: 'checkpoint'; readonly instanceId: string; readonly tasks: number }
  | {
      readonly kind: 'outcome';
      readonly instanceId: string;
      readonly permitId: string;
      readonly permitOffset: number;
      readonly result: PermitResult;
      readonly reason: OutcomeReason;
    };

/** Where a permit stands; times are the executor's monotonic clock. */
export type PermitProgress =
  | { readonly phase: 'draining'; readonly sinceMs: number }
  | {
      readonly phase: 'rebooting';
      readonly sinceMs: number;
      readonly confirmedAtMs: number | undefined;
    }
  | {
      readonly phase: 'restoring';
      readonly sinceMs: number;
      readonly result: 'returned' | 'gave-back';
      readonly reason: OutcomeReason;
    };

/** Progress by permit id; lost with the executor. */
export type ExecutorState = Map<string, PermitProgress>;

/** Creates the state of an executor that has just taken over. */
export function createExecutorState(): ExecutorState {
  return Map();
}

/** What the executor knows of the platform. */
export interface ExecutorObservations {
  readonly list: ListReading;
  /** Every instance as last listed, also those that the newest list lacks. */
  readonly instances: ReadonlyMap<string, Instance>;
  /** Tasks and requests that run on each instance; absent when unknown. */
  readonly work: ReadonlyMap<string, number>;
  /** Says whether the platform has confirmed an operation for a permit. */
  readonly isConfirmed: (permitId: string, operation: PermitOperation) => boolean;
  /**
   * Says whether the platform has refused an operation because the permit has ended there: an earlier
   * executor restored the instance and did not live to write the outcome.
   */
  readonly isEnded: (permitId: string) => boolean;
  readonly policyOf: PolicyOf;
  /** Date in milliseconds since 1970. */
  readonly atMs: number;
}

/** Settings of the executor. */
export interface ExecutorSettings {
  /** Time after a confirmed reboot before the list can be trusted to show its effect. */
  readonly settleMs: number;
}

/** Settings for a list that lags by at most a minute. */
export const EXECUTOR_SETTINGS: ExecutorSettings = { settleMs: 90_000 };

/** Everything that concerns one permit. */
interface PermitCase {
  readonly instanceId: string;
  readonly permit: OpenPermit;
  readonly policy: MaintenancePolicy;
  readonly isOverdrawn: boolean;
  readonly isDomainLost: boolean;
  readonly seen: ExecutorObservations;
  readonly settings: ExecutorSettings;
  readonly nowMs: number;
}

/** The next progress of a permit and what to do. */
interface PermitStep {
  readonly progress: PermitProgress;
  readonly actions: readonly PermitAction[];
}

/** Makes the action that runs an operation, unless it is confirmed already. */
function listOperation(it: PermitCase, operation: PermitOperation): readonly PermitAction[] {
  const { instanceId, permit } = it;
  if (it.seen.isConfirmed(permit.id, operation)) return [];
  return [{ kind: 'operation', operation, instanceId, permitId: permit.id }];
}

/** Makes the action that ends the permit. */
function makeOutcome(it: PermitCase, result: PermitResult, reason: OutcomeReason): PermitAction {
  const { instanceId, permit } = it;
  const { id: permitId, offset: permitOffset } = permit;
  return { kind: 'outcome', instanceId, permitId, permitOffset, result, reason };
}

/** Begins the restore that precedes the outcome. */
function startRestore(
  it: PermitCase,
  result: 'returned' | 'gave-back',
  reason: OutcomeReason,
): PermitStep {
  const progress = { phase: 'restoring', sinceMs: it.nowMs, result, reason } as const;
  return { progress, actions: listOperation(it, 'restore') };
}

/** Decides on a permit whose instance is being drained. */
function decideDraining(
  it: PermitCase,
  progress: PermitProgress & { readonly phase: 'draining' },
): PermitStep {
  const work = it.seen.work.get(it.instanceId);
  if (it.isOverdrawn) return startRestore(it, 'gave-back', 'budget-lost-before-reboot');
  if (it.seen.isConfirmed(it.permit.id, 'drain') && work === 0) {
    const rebooting = { phase: 'rebooting', sinceMs: it.nowMs, confirmedAtMs: undefined } as const;
    return { progress: rebooting, actions: listOperation(it, 'reboot') };
  }
  if (it.nowMs - progress.sinceMs >= it.policy.drainLimitMs) {
    return startRestore(it, 'gave-back', 'drain-limit');
  }
  const checkpoint: readonly PermitAction[] =
    work === undefined || work === 0
      ? []
      : [{ kind: 'checkpoint', instanceId: it.instanceId, tasks: work }];
  return { progress, actions: [...listOperation(it, 'drain'), ...checkpoint] };
}

/** Decides on a permit whose instance is being rebooted; a lost domain stops its clock. */
function decideRebooting(
  it: PermitCase,
  progress: PermitProgress & { readonly phase: 'rebooting' },
): PermitStep {
  const isConfirmed = it.seen.isConfirmed(it.permit.id, 'reboot');
  const confirmedAtMs = progress.confirmedAtMs ?? (isConfirmed ? it.nowMs : undefined);
  const isSettled =
    confirmedAtMs !== undefined && it.seen.list.askedAtMs >= confirmedAtMs + it.settings.settleMs;
  if (isSettled && isLive(it.seen.list, it.instanceId)) {
    return startRestore(it, 'returned', 'seen-after-reboot');
  }
  if (it.isDomainLost) {
    const waiting = { ...progress, sinceMs: it.nowMs, confirmedAtMs };
    return { progress: waiting, actions: listOperation(it, 'reboot') };
  }
  if (it.nowMs - progress.sinceMs >= it.policy.rebootLimitMs) {
    const outcome = makeOutcome(it, 'failed', 'reboot-limit');
    return { progress, actions: [...listOperation(it, 'restore'), outcome] };
  }
  return { progress: { ...progress, confirmedAtMs }, actions: listOperation(it, 'reboot') };
}

/** Decides on a permit whose instance is being restored. */
function decideRestoring(
  it: PermitCase,
  progress: PermitProgress & { readonly phase: 'restoring' },
): PermitStep {
  if (it.seen.isConfirmed(it.permit.id, 'restore')) {
    return { progress, actions: [makeOutcome(it, progress.result, progress.reason)] };
  }
  return { progress, actions: listOperation(it, 'restore') };
}

/** Decides on one permit. */
function decidePermit(it: PermitCase, progress: PermitProgress | undefined): PermitStep {
  const current = progress ?? { phase: 'draining', sinceMs: it.nowMs };
  if (current.phase !== 'restoring' && it.seen.isEnded(it.permit.id)) {
    return startRestore(it, 'gave-back', 'ended-before');
  }
  switch (current.phase) {
    case 'draining':
      return decideDraining(it, current);
    case 'rebooting':
      return decideRebooting(it, current);
    case 'restoring':
      return decideRestoring(it, current);
    default:
      return current satisfies never;
  }
}

/** Decides the next step of every open permit; call it as long as the duty is held. */
export function decidePermitActions(
  state: ExecutorState,
  fleet: CapacityState,
  seen: ExecutorObservations,
  nowMs: number,
  settings: ExecutorSettings = EXECUTOR_SETTINGS,
): { readonly state: ExecutorState; readonly actions: readonly PermitAction[] } {
  const { permits } = fleet.maintenance;
  if (permits.size === 0) return { state: Map(), actions: [] };
  const domains = listLostDomains(fleet, seen.instances);
  const context = { pools: fleet.pools, policyOf: seen.policyOf };
  const steps = [...permits].map(([instanceId, permit]) => {
    const instance = seen.instances.get(instanceId);
    const room = countRoom(fleet.maintenance, context, permit.pool, seen.atMs);
    const it: PermitCase = {
      instanceId,
      permit,
      policy: seen.policyOf(permit.pool, seen.atMs),
      isOverdrawn: room < 0,
      isDomainLost: instance !== undefined && isInLostDomain(domains, instance),
      seen,
      settings,
      nowMs,
    };
    return { id: permit.id, step: decidePermit(it, state.get(permit.id)) };
  });
  return {
    state: Map(steps.map(({ id, step }) => [id, step.progress])),
    actions: steps.flatMap(({ step }) => step.actions),
  };
}
