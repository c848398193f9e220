/** Forecasts when each pool's maintenance will finish, from the typical duration of permits. */
import { computeRounds, listDuePools, type DuePool, type WaveInput } from './candidates.js';
import type { HoldReason } from './decisions.js';
import type { MaintenancePolicy } from './policy.js';

/** Forecast of one pool. */
export interface PoolForecast {
  readonly pool: string;
  /** Number of due instances. */
  readonly remaining: number;
  /**
   * Date in milliseconds since 1970; undefined while maintenance is frozen or the pool has no budget.
   */
  readonly finishAtMs: number | undefined;
  /** Whether it never finishes, or only after the latest due date of those that could stop now. */
  readonly isLate: boolean;
  /** Why the pool gets no permits now; undefined when it may get some. */
  readonly hold: HoldReason | undefined;
}

const HOURS_PER_DAY = 24;

/** Computes the share of the day within the maintenance hours. */
function computeOpenShare(policy: MaintenancePolicy): number {
  const [from, to] = policy.maintenanceHours;
  const hours = from < to ? to - from : HOURS_PER_DAY - from + to;
  return hours / HOURS_PER_DAY;
}

/** Forecasts one pool. */
function makeForecast(input: WaveInput, duePool: DuePool): PoolForecast {
  const { pool, remaining, hold } = duePool;
  const policy = input.policyOf(pool, input.nowMs);
  const roundMs = input.fleet.maintenance.typicalMs ?? policy.rebootLimitMs;
  const isBlocked = policy.maintenanceFrozen || duePool.budget === 0;
  const remainingMs = (computeRounds(duePool) * roundMs) / computeOpenShare(policy);
  const finishAtMs = isBlocked ? undefined : input.nowMs + remainingMs;
  const latestDueMs = Math.max(...duePool.candidates.map(({ dueAtMs }) => dueAtMs), -Infinity);
  const isLate = finishAtMs === undefined || finishAtMs > latestDueMs;
  return { pool, remaining, finishAtMs, isLate, hold };
}

/** Forecasts every pool with due instances; the one that finishes last comes first. */
export function listForecasts(input: WaveInput): readonly PoolForecast[] {
  return listDuePools(input)
    .map((duePool) => makeForecast(input, duePool))
    .sort((a, b) => (b.finishAtMs ?? Infinity) - (a.finishAtMs ?? Infinity) || 0);
}
