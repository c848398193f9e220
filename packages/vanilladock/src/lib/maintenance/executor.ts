/**
 * Carries out open permits, one pure step at a time: checkpoint tasks and drain, reboot, wait for
 * an observed return, restore, write the outcome. Every operation is idempotent by its permit id
 * and is repeated until confirmed, so an executor that takes over starts again from the drain. When
 * the platform refuses the drain, the permit has already ended there and is released; when it confirms
 * the drain and lists the instance as live, the earlier executor has rebooted it. At worst an instance
 * is rebooted twice. A confirmed restore also ends the permit at the platform, so that a
 * late reboot from a superseded executor is refused. Hence a permit is released only after its
 * restore was confirmed.
 */
import { Map } from 'immutable';
import type { Instance } from '../topology.js';
import type { CapacityState } from './capacity.js';
import { computeFreeBudget, type OpenPermit } from './fold.js';
import { isInLostDomain, isLive, listLostDomains, type ListReading } from './losses.js';
import type { MaintenancePolicy, PolicyOf } from './policy.js';
import type { PermitResult } from './waves.js';

/** Operations of the platform that a permit needs. */
export type PermitOperation = 'drain' | 'reboot' | 'restore';

/**
 * Why a permit ends. `seen-after-reboot` ends it as returned and `reboot-limit` as failed; all other
 * reasons as given back, `ended-before` because the platform had already ended it.
 */
export type OutcomeReason =
  | 'seen-after-reboot'
  | 'drain-limit'
  | 'budget-lost-before-reboot'
  | 'reboot-limit'
  | 'ended-before';

/** An action that the executor requests. */
export type PermitAction =
  | {
      readonly kind: 'operation';
      readonly operation: PermitOperation;
      readonly instanceId: string;
      readonly permitId: string;
    }
  /** Requests that placement checkpoint or move the instance's tasks. */
  | { readonly kind: 'checkpoint'; readonly instanceId: string; readonly tasks: number }
  | {
      readonly kind: 'outcome';
      readonly instanceId: string;
      readonly permitId: string;
      readonly permitOffset: number;
      readonly result: PermitResult;
      readonly reason: OutcomeReason;
    };

/** Progress of a permit; times are on the executor's monotonic clock. */
export type PermitProgress =
  | {
      readonly phase: 'draining';
      readonly sinceMs: number;
      readonly confirmedAtMs: number | undefined;
    }
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

/** Progress by permit id; not persisted, so it is lost with the executor. */
export type ExecutorState = Map<string, PermitProgress>;

/** Creates the state of an executor that has just taken over. */
export function createExecutorState(): ExecutorState {
  return Map();
}

/** Observations of the platform that the executor decides from. */
export interface ExecutorObservations {
  readonly list: ListReading;
  /** Every instance as last listed, also those that the newest list lacks. */
  readonly instances: ReadonlyMap<string, Instance>;
  /** Number of tasks and requests that run on each instance; absent when unknown. */
  readonly work: ReadonlyMap<string, number>;
  /** Says whether the platform has confirmed an operation for a permit. */
  readonly isConfirmed: (permitId: string, operation: PermitOperation) => boolean;
  /**
   * Says whether the platform has refused an operation because the permit has ended there: an
   * earlier executor restored the instance and terminated before it wrote the outcome.
   */
  readonly isEnded: (permitId: string) => boolean;
  /** Fencing token with which this executor took over; permits before it may be rebooted already. */
  readonly heldSince: number;
  readonly policyOf: PolicyOf;
  /** Date in milliseconds since 1970. */
  readonly atMs: number;
}

/** Settings of the executor. */
export interface ExecutorSettings {
  /** Time after a confirmed reboot until the instance list reliably shows its effect. */
  readonly settleMs: number;
}

/** Default settings, for an instance list that lags by at most one minute. */
export const DEFAULT_EXECUTOR_SETTINGS: ExecutorSettings = { settleMs: 90_000 };

/** Everything that a decision about one permit needs. */
interface PermitContext {
  readonly instanceId: string;
  readonly permit: OpenPermit;
  readonly policy: MaintenancePolicy;
  readonly isOverBudget: boolean;
  readonly isDomainLost: boolean;
  readonly observations: ExecutorObservations;
  readonly settings: ExecutorSettings;
  readonly nowMs: number;
}

/** The next progress of a permit and the actions to take. */
interface PermitStep {
  readonly progress: PermitProgress;
  readonly actions: readonly PermitAction[];
}

/** Lists the action that runs an operation; empty when the operation is already confirmed. */
function listOperation(
  context: PermitContext,
  operation: PermitOperation,
): readonly PermitAction[] {
  const { instanceId, permit } = context;
  if (context.observations.isConfirmed(permit.id, operation)) return [];
  return [{ kind: 'operation', operation, instanceId, permitId: permit.id }];
}

/** Makes the action that ends the permit. */
function makeOutcome(
  context: PermitContext,
  result: PermitResult,
  reason: OutcomeReason,
): PermitAction {
  const { instanceId, permit } = context;
  const { id: permitId, offset: permitOffset } = permit;
  return { kind: 'outcome', instanceId, permitId, permitOffset, result, reason };
}

/** Starts the restore that precedes the outcome. */
function startRestore(
  context: PermitContext,
  result: 'returned' | 'gave-back',
  reason: OutcomeReason,
): PermitStep {
  const progress = { phase: 'restoring', sinceMs: context.nowMs, result, reason } as const;
  return { progress, actions: listOperation(context, 'restore') };
}

/** Says whether a list shows what was confirmed at a time; that takes a while. */
function isSettled({ observations, settings }: PermitContext, confirmedAtMs: number | undefined) {
  if (confirmedAtMs === undefined) return false;
  return observations.list.requestedAtMs >= confirmedAtMs + settings.settleMs;
}

/**
 * Decides the next step of a permit whose instance is being drained. A drained instance is listed as
 * leaving until its reboot, which only an earlier executor can have ordered by then; from its return
 * on it is in service, and need not become idle.
 */
function decideDraining(
  context: PermitContext,
  progress: PermitProgress & { readonly phase: 'draining' },
): PermitStep {
  const { list, work: allWork, isConfirmed, heldSince } = context.observations;
  const work = allWork.get(context.instanceId);
  const isDrained = isConfirmed(context.permit.id, 'drain');
  const confirmedAtMs = progress.confirmedAtMs ?? (isDrained ? context.nowMs : undefined);
  const isInherited = context.permit.offset < heldSince;
  if (isInherited && isSettled(context, confirmedAtMs) && isLive(list, context.instanceId)) {
    return startRestore(context, 'returned', 'seen-after-reboot');
  }
  if (context.isOverBudget) return startRestore(context, 'gave-back', 'budget-lost-before-reboot');
  if (isDrained && work === 0) {
    const rebooting = {
      phase: 'rebooting',
      sinceMs: context.nowMs,
      confirmedAtMs: undefined,
    } as const;
    return { progress: rebooting, actions: listOperation(context, 'reboot') };
  }
  if (context.nowMs - progress.sinceMs >= context.policy.drainLimitMs) {
    return startRestore(context, 'gave-back', 'drain-limit');
  }
  const checkpoint: readonly PermitAction[] =
    work === undefined || work === 0
      ? []
      : [{ kind: 'checkpoint', instanceId: context.instanceId, tasks: work }];
  const actions = [...listOperation(context, 'drain'), ...checkpoint];
  return { progress: { ...progress, confirmedAtMs }, actions };
}

/** Decides the next step during a reboot; its time limit is suspended while the domain is lost. */
function decideRebooting(
  context: PermitContext,
  progress: PermitProgress & { readonly phase: 'rebooting' },
): PermitStep {
  const isConfirmed = context.observations.isConfirmed(context.permit.id, 'reboot');
  const confirmedAtMs = progress.confirmedAtMs ?? (isConfirmed ? context.nowMs : undefined);
  if (isSettled(context, confirmedAtMs) && isLive(context.observations.list, context.instanceId)) {
    return startRestore(context, 'returned', 'seen-after-reboot');
  }
  if (context.isDomainLost) {
    const waiting = { ...progress, sinceMs: context.nowMs, confirmedAtMs };
    return { progress: waiting, actions: listOperation(context, 'reboot') };
  }
  if (context.nowMs - progress.sinceMs >= context.policy.rebootLimitMs) {
    const outcome = makeOutcome(context, 'failed', 'reboot-limit');
    return { progress, actions: [...listOperation(context, 'restore'), outcome] };
  }
  return { progress: { ...progress, confirmedAtMs }, actions: listOperation(context, 'reboot') };
}

/** Decides the next step of a permit whose instance is being restored. */
function decideRestoring(
  context: PermitContext,
  progress: PermitProgress & { readonly phase: 'restoring' },
): PermitStep {
  if (context.observations.isConfirmed(context.permit.id, 'restore')) {
    return { progress, actions: [makeOutcome(context, progress.result, progress.reason)] };
  }
  return { progress, actions: listOperation(context, 'restore') };
}

/** Decides the next step of one permit. */
function decidePermit(context: PermitContext, progress: PermitProgress | undefined): PermitStep {
  const current =
    progress ?? ({ phase: 'draining', sinceMs: context.nowMs, confirmedAtMs: undefined } as const);
  if (current.phase !== 'restoring' && context.observations.isEnded(context.permit.id)) {
    return startRestore(context, 'gave-back', 'ended-before');
  }
  switch (current.phase) {
    case 'draining':
      return decideDraining(context, current);
    case 'rebooting':
      return decideRebooting(context, current);
    case 'restoring':
      return decideRestoring(context, current);
    default:
      return current satisfies never;
  }
}

/**
 * Decides the next step of every open permit; to be called repeatedly while the duty is held.
 * `nowMs` is on the executor's monotonic clock. Actions are returned again by later calls until
 * they are confirmed or the permit has ended.
 */
export function decidePermitActions(
  state: ExecutorState,
  fleet: CapacityState,
  observations: ExecutorObservations,
  nowMs: number,
  settings: ExecutorSettings = DEFAULT_EXECUTOR_SETTINGS,
): { readonly state: ExecutorState; readonly actions: readonly PermitAction[] } {
  const { permits } = fleet.maintenance;
  if (permits.size === 0) return { state: Map(), actions: [] };
  const domains = listLostDomains(fleet, observations.instances);
  const maintenanceContext = { pools: fleet.pools, policyOf: observations.policyOf };
  const steps = [...permits].map(([instanceId, permit]) => {
    const instance = observations.instances.get(instanceId);
    const freeBudget = computeFreeBudget(
      fleet.maintenance,
      maintenanceContext,
      permit.pool,
      observations.atMs,
    );
    const context: PermitContext = {
      instanceId,
      permit,
      policy: observations.policyOf(permit.pool, observations.atMs),
      isOverBudget: freeBudget < 0,
      isDomainLost: instance !== undefined && isInLostDomain(domains, instance),
      observations,
      settings,
      nowMs,
    };
    return { id: permit.id, step: decidePermit(context, state.get(permit.id)) };
  });
  return {
    state: Map(steps.map(({ id, step }) => [id, step.progress])),
    actions: steps.flatMap(({ step }) => step.actions),
  };
}
