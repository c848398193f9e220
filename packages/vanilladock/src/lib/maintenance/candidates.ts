/**
 * Lists the instances that are due for maintenance, grouped by pool. Overdue instances come first;
 * the others are ordered by data centre, then by rack, then by due date.
 */
import { countMembers } from '../pools/fold.js';
import type { Instance } from '../topology.js';
import type { HoldReason } from './decisions.js';
import type { CapacityState } from './capacity.js';
import { computeFreeBudget } from './fold.js';
import { computeBudget, DAY_MS, isWithinHours, type PolicyOf } from './policy.js';

/** Settings of the wave planner. */
export interface WaveSettings {
  /** Share of the maintenance interval by which maintenance may begin before it is due. */
  readonly leadShare: number;
  /** Pause of a pool after an unplanned loss, in case further losses follow. */
  readonly lossPauseMs: number;
  /** Share of the fleet whose unplanned loss puts all pools on hold. */
  readonly fleetLossShare: number;
  /**
   * Extra lead time for the other instances once any instance may begin, so that instances with
   * close due dates share a wave.
   */
  readonly cohortMs: number;
  /** Age from which a wave accepts no further instances. */
  readonly waveAgeMs: number;
  /** Pause after a wave was stopped by failures, before the next wave of its data centre. */
  readonly retryStoppedMs: number;
}

/** Default settings, for a fleet of a few hundred instances. */
export const DEFAULT_WAVE_SETTINGS: WaveSettings = {
  leadShare: 0.1,
  cohortMs: DAY_MS,
  lossPauseMs: 5 * 60_000,
  fleetLossShare: 0.1,
  waveAgeMs: DAY_MS,
  retryStoppedMs: 3_600_000,
};

/** Input of the wave planner. */
export interface WaveInput {
  readonly fleet: CapacityState;
  /** Every instance as last listed, also those that the newest list lacks. */
  readonly instances: ReadonlyMap<string, Instance>;
  readonly policyOf: PolicyOf;
  /** Date in milliseconds since 1970. */
  readonly nowMs: number;
  readonly settings: WaveSettings;
}

/** An instance that is due for maintenance. */
export interface WaveCandidate {
  readonly instanceId: string;
  readonly pool: string;
  readonly dataCentre: string;
  readonly rack: string;
  /** In milliseconds since 1970; -Infinity when the instance was never maintained. */
  readonly dueAtMs: number;
  readonly isOverdue: boolean;
}

/** A pool with instances that are due for maintenance. */
export interface DuePool {
  readonly pool: string;
  /** Due instances that could stop now, in the order in which they should. */
  readonly candidates: readonly WaveCandidate[];
  /** Number of due instances, including those that are lost or unavailable. */
  readonly remaining: number;
  /** Number of instances that may be unavailable at once. */
  readonly budget: number;
  /** Part of the budget that is unused; negative when losses exceed the budget. */
  readonly freeBudget: number;
  /** Number of canaries, of any pool, that must return before a wave stops others of this pool. */
  readonly canaries: number;
  /** Why the pool gets no permits now; undefined when it may get some. */
  readonly hold: HoldReason | undefined;
}

/** Makes the candidate for an instance; undefined when the instance was never listed. */
function makeCandidate(
  input: WaveInput,
  pool: string,
  { id, dueAtMs }: { readonly id: string; readonly dueAtMs: number },
): WaveCandidate | undefined {
  const instance = input.instances.get(id);
  if (instance === undefined) return undefined;
  const { dataCentre, rack } = instance.location;
  return { instanceId: id, pool, dataCentre, rack, dueAtMs, isOverdue: input.nowMs >= dueAtMs };
}

/** Lists when each instance of a pool is due; one that was never maintained is always overdue. */
function listDueDates(input: WaveInput, pool: string, ids: Iterable<string>) {
  const intervalMs = input.policyOf(pool, input.nowMs).maintenanceIntervalDays * DAY_MS;
  const dates = [...ids].map((id) => {
    const maintainedAtMs = input.fleet.maintenance.maintained.get(id) ?? -Infinity;
    return { id, dueAtMs: maintainedAtMs + intervalMs };
  });
  return { pool, dates, horizonMs: input.nowMs + intervalMs * input.settings.leadShare };
}

/** Says whether the newest wave is young enough for other instances to join its cohort. */
function isCohortOpen(input: WaveInput): boolean {
  const startedAtMs = input.fleet.maintenance.waves.last(undefined)?.startedAtMs;
  return startedAtMs !== undefined && input.nowMs - startedAtMs < input.settings.waveAgeMs;
}

/** Lists the candidates of each pool that are due, or whose due date is close to that of others. */
function listDueCandidates(input: WaveInput) {
  const pools = [...input.fleet.pools.members].map(([pool, ids]) => listDueDates(input, pool, ids));
  const isAnyDue = pools.some(({ dates, horizonMs }) =>
    dates.some(({ dueAtMs }) => dueAtMs <= horizonMs),
  );
  if (!isAnyDue && !isCohortOpen(input)) return [];
  return pools
    .map(({ pool, dates, horizonMs }) => {
      const cohortEndMs = horizonMs + input.settings.cohortMs;
      const due = dates
        .filter(({ dueAtMs }) => dueAtMs <= cohortEndMs)
        .map((date) => makeCandidate(input, pool, date))
        .filter((candidate) => candidate !== undefined);
      return { pool, due };
    })
    .filter(({ due }) => due.length > 0);
}

/** Compares values that may be infinite. */
function compareNumbers(a: number, b: number): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}

/** Compares texts by code unit. */
function compareTexts(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}

/** Says whether a pool has lost an instance within the pause after a loss. */
function hasRecentLoss(input: WaveInput, ids: Iterable<string>): boolean {
  return [...ids].some((id) => {
    const lostAtMs = input.fleet.maintenance.lost.get(id);
    if (lostAtMs === undefined) return false;
    const ageMs = input.nowMs - lostAtMs;
    return ageMs >= 0 && ageMs < input.settings.lossPauseMs;
  });
}

/** Says whether so much of the fleet is lost that no further instance should stop. */
export function hasFleetLoss(input: WaveInput): boolean {
  const { pools, maintenance } = input.fleet;
  return maintenance.lost.size > pools.memberships.size * input.settings.fleetLossShare;
}

/** Decides why a whole pool is on hold; undefined when it is not. */
function decideHold(
  input: WaveInput,
  pool: string,
  duePool: Pick<DuePool, 'freeBudget' | 'candidates'>,
  ids: Iterable<string>,
): HoldReason | undefined {
  const policy = input.policyOf(pool, input.nowMs);
  if (policy.maintenanceFrozen) return 'frozen';
  if (!isWithinHours(policy.maintenanceHours, input.nowMs)) return 'outside-hours';
  if (countMembers(input.fleet.pools, pool) < 2) return 'single-instance';
  if (hasFleetLoss(input)) return 'fleet-loss';
  if (hasRecentLoss(input, ids)) return 'recent-loss';
  if (duePool.freeBudget < 1) return 'budget-spent';
  return duePool.candidates.length === 0 ? 'nothing-live' : undefined;
}

/** Collects the due instances of one pool; `ranks` gives the order of the data centres. */
function makeDuePool(
  input: WaveInput,
  pool: string,
  due: readonly WaveCandidate[],
  ranks: ReadonlyMap<string, number>,
): DuePool {
  const { permits, lost } = input.fleet.maintenance;
  const getRank = ({ dataCentre }: WaveCandidate) => ranks.get(dataCentre) ?? ranks.size;
  const candidates = due
    .filter(
      ({ instanceId: id }) =>
        !permits.has(id) && !lost.has(id) && input.instances.get(id)?.state === 'live',
    )
    .sort(
      (a, b) =>
        Number(b.isOverdue) - Number(a.isOverdue) ||
        getRank(a) - getRank(b) ||
        compareTexts(a.rack, b.rack) ||
        compareNumbers(a.dueAtMs, b.dueAtMs) ||
        compareTexts(a.instanceId, b.instanceId),
    );
  const policy = input.policyOf(pool, input.nowMs);
  const size = countMembers(input.fleet.pools, pool);
  const context = { pools: input.fleet.pools, policyOf: input.policyOf };
  const freeBudget = computeFreeBudget(input.fleet.maintenance, context, pool, input.nowMs);
  const ids = input.fleet.pools.members.get(pool) ?? [];
  return {
    pool,
    candidates,
    remaining: due.length,
    budget: computeBudget(policy.maxUnavailableShare, size),
    freeBudget,
    canaries: policy.canaries,
    hold: decideHold(input, pool, { freeBudget, candidates }, ids),
  };
}

/** Orders data centres by the earliest due date of their instances, then by name. */
export function orderDataCentres(due: readonly WaveCandidate[]): readonly string[] {
  const earliest = new globalThis.Map<string, number>();
  due.forEach(({ dataCentre, dueAtMs }) => {
    earliest.set(dataCentre, Math.min(dueAtMs, earliest.get(dataCentre) ?? Infinity));
  });
  return [...earliest]
    .sort((a, b) => compareNumbers(a[1], b[1]) || compareTexts(a[0], b[0]))
    .map(([dataCentre]) => dataCentre);
}

/**
 * Lists the pools with due instances, also those on hold; pools that need the most rounds of
 * permits come first. Empty when no instance is due.
 */
export function listDuePools(input: WaveInput): readonly DuePool[] {
  const dueByPool = listDueCandidates(input);
  const ranks = new globalThis.Map(
    orderDataCentres(dueByPool.flatMap(({ due }) => due)).map((name, rank) => [name, rank]),
  );
  return dueByPool
    .map(({ pool, due }) => makeDuePool(input, pool, due, ranks))
    .sort((a, b) => computeRounds(b) - computeRounds(a) || compareTexts(a.pool, b.pool));
}

/** Computes how many rounds of permits a pool still needs; 0 when it has no budget. */
export function computeRounds(duePool: Pick<DuePool, 'remaining' | 'budget'>): number {
  return duePool.budget === 0 ? 0 : Math.ceil(duePool.remaining / duePool.budget);
}
