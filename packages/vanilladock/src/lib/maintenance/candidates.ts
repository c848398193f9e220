/**
 * The instances that are due for maintenance, pool by pool and in order: overdue ones first, then one
 * data centre after the other, rack by rack, the longest waiting first.
 */
import { countMembers } from '../pools/fold.js';
import type { Instance } from '../topology.js';
import type { HoldReason } from './decisions.js';
import type { CapacityState } from './capacity.js';
import { countRoom } from './fold.js';
import { computeBudget, DAY_MS, isWithinHours, type PolicyOf } from './policy.js';

/** Settings of the planner of waves. */
export interface WaveSettings {
  /** Share of the interval by which maintenance begins before it is due. */
  readonly leadShare: number;
  /** Pause of a pool after an unplanned loss, to see whether more follow. */
  readonly lossPauseMs: number;
  /** Share of the fleet whose unplanned loss holds all pools. */
  readonly fleetLossShare: number;
  /** Time by which others begin earlier still once any instance may, so that waves stay together. */
  readonly cohortMs: number;
  /** Age at which a wave takes no further instances. */
  readonly waveAgeMs: number;
  /** Pause after a wave stopped itself. */
  readonly retryStoppedMs: number;
}

/** Settings that suit a fleet of some hundred instances. */
export const WAVE_SETTINGS: WaveSettings = {
  leadShare: 0.1,
  cohortMs: DAY_MS,
  lossPauseMs: 5 * 60_000,
  fleetLossShare: 0.1,
  waveAgeMs: DAY_MS,
  retryStoppedMs: 3_600_000,
};

/** What the planner of waves decides from. */
export interface WaveInput {
  readonly fleet: CapacityState;
  /** Every instance as last listed, also those that the newest list lacks. */
  readonly instances: ReadonlyMap<string, Instance>;
  readonly policyOf: PolicyOf;
  /** Date in milliseconds since 1970. */
  readonly nowMs: number;
  readonly settings: WaveSettings;
}

/** One instance that is due. */
export interface WaveCandidate {
  readonly instanceId: string;
  readonly pool: string;
  readonly dataCentre: string;
  readonly rack: string;
  readonly dueAtMs: number;
  readonly isOverdue: boolean;
}

/** A pool with instances that are due. */
export interface PoolBoard {
  readonly pool: string;
  /** Due instances that could stop now, in order. */
  readonly candidates: readonly WaveCandidate[];
  /** Due instances, with those that are lost or away. */
  readonly remaining: number;
  readonly budget: number;
  readonly room: number;
  readonly canaries: number;
  readonly hold: HoldReason | undefined;
}

/** Makes a candidate of an instance. */
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

/** Lists when each instance of a pool is due; never maintained counts as due since ever. */
function listDueDates(input: WaveInput, pool: string, ids: Iterable<string>) {
  const intervalMs = input.policyOf(pool, input.nowMs).maintenanceIntervalDays * DAY_MS;
  const dates = [...ids].map((id) => {
    const maintainedAtMs = input.fleet.maintenance.maintained.get(id) ?? -Infinity;
    return { id, dueAtMs: maintainedAtMs + intervalMs };
  });
  return { pool, dates, horizonMs: input.nowMs + intervalMs * input.settings.leadShare };
}

/** Says whether a wave began so lately that others still belong to its cohort. */
function isUnderWay(input: WaveInput): boolean {
  const startedAtMs = input.fleet.maintenance.waves.last(undefined)?.startedAtMs;
  return startedAtMs !== undefined && input.nowMs - startedAtMs < input.settings.waveAgeMs;
}

/** Lists the candidates of each pool that are due, or soon will be together with others. */
function listDue(input: WaveInput) {
  const pools = [...input.fleet.pools.members].map(([pool, ids]) => listDueDates(input, pool, ids));
  const isAnyOpen = pools.some(({ dates, horizonMs }) =>
    dates.some(({ dueAtMs }) => dueAtMs <= horizonMs),
  );
  if (!isAnyOpen && !isUnderWay(input)) return [];
  return pools
    .map(({ pool, dates, horizonMs }) => {
      const latestMs = horizonMs + input.settings.cohortMs;
      const due = dates
        .filter(({ dueAtMs }) => dueAtMs <= latestMs)
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

/** Says whether a pool has lost an instance within the pause. */
function hasRecentLoss(input: WaveInput, ids: Iterable<string>): boolean {
  return [...ids].some((id) => {
    const lostAtMs = input.fleet.maintenance.lost.get(id);
    if (lostAtMs === undefined) return false;
    const ageMs = input.nowMs - lostAtMs;
    return ageMs >= 0 && ageMs < input.settings.lossPauseMs;
  });
}

/** Says whether so much of the fleet is lost that nothing more should stop. */
export function isFleetLost(input: WaveInput): boolean {
  const { pools, maintenance } = input.fleet;
  return maintenance.lost.size > pools.memberships.size * input.settings.fleetLossShare;
}

/** Decides why a whole pool waits; undefined when it need not. */
function decideHold(
  input: WaveInput,
  pool: string,
  board: Pick<PoolBoard, 'room' | 'candidates'>,
  ids: Iterable<string>,
): HoldReason | undefined {
  const policy = input.policyOf(pool, input.nowMs);
  if (policy.maintenanceFrozen) return 'frozen';
  if (!isWithinHours(policy.maintenanceHours, input.nowMs)) return 'outside-hours';
  if (countMembers(input.fleet.pools, pool) < 2) return 'single-instance';
  if (isFleetLost(input)) return 'fleet-loss';
  if (hasRecentLoss(input, ids)) return 'recent-loss';
  if (board.room < 1) return 'budget-spent';
  return board.candidates.length === 0 ? 'nothing-live' : undefined;
}

/** Makes the board of one pool; the order of candidates is by the rank of their data centre. */
function makeBoard(
  input: WaveInput,
  pool: string,
  due: readonly WaveCandidate[],
  ranks: ReadonlyMap<string, number>,
): PoolBoard {
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
  const room = countRoom(input.fleet.maintenance, context, pool, input.nowMs);
  const ids = input.fleet.pools.members.get(pool) ?? [];
  return {
    pool,
    candidates,
    remaining: due.length,
    budget: computeBudget(policy.maxUnavailableShare, size),
    room,
    canaries: policy.canaries,
    hold: decideHold(input, pool, { room, candidates }, ids),
  };
}

/** Orders data centres: the one whose first instance was due the longest ago comes first. */
export function orderDataCentres(due: readonly WaveCandidate[]): readonly string[] {
  const earliest = new globalThis.Map<string, number>();
  due.forEach(({ dataCentre, dueAtMs }) => {
    earliest.set(dataCentre, Math.min(dueAtMs, earliest.get(dataCentre) ?? Infinity));
  });
  return [...earliest]
    .sort((a, b) => compareNumbers(a[1], b[1]) || compareTexts(a[0], b[0]))
    .map(([dataCentre]) => dataCentre);
}

/** Lists the boards of all pools with due instances, the most rounds of maintenance first. */
export function listBoards(input: WaveInput): readonly PoolBoard[] {
  const duePools = listDue(input);
  const ranks = new globalThis.Map(
    orderDataCentres(duePools.flatMap(({ due }) => due)).map((name, rank) => [name, rank]),
  );
  return duePools
    .map(({ pool, due }) => makeBoard(input, pool, due, ranks))
    .sort((a, b) => computeRounds(b) - computeRounds(a) || compareTexts(a.pool, b.pool));
}

/** Computes how many rounds of permits a pool still needs. */
export function computeRounds(board: Pick<PoolBoard, 'remaining' | 'budget'>): number {
  return board.budget === 0 ? 0 : Math.ceil(board.remaining / board.budget);
}
