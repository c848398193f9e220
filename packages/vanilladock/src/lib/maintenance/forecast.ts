/** A forecast of when each pool's maintenance is finished, at the pace that permits have shown. */
import { computeRounds, listBoards, type PoolBoard, type WaveInput } from './candidates.js';
import type { HoldReason } from './decisions.js';
import type { MaintenancePolicy } from './policy.js';

/** When a pool will be finished. */
export interface PoolForecast {
  readonly pool: string;
  readonly remaining: number;
  /** Date in milliseconds since 1970; undefined while nothing can be maintained at all. */
  readonly finishAtMs: number | undefined;
  /** Whether some instance will be overdue before it is maintained. */
  readonly isLate: boolean;
  readonly hold: HoldReason | undefined;
}

const HOURS_A_DAY = 24;

/** Computes the share of the day at which permits may be given. */
function computeOpenShare(policy: MaintenancePolicy): number {
  const [from, to] = policy.maintenanceHours;
  const hours = from < to ? to - from : HOURS_A_DAY - from + to;
  return hours / HOURS_A_DAY;
}

/** Forecasts one pool. */
function makeForecast(input: WaveInput, board: PoolBoard): PoolForecast {
  const { pool, remaining, hold } = board;
  const policy = input.policyOf(pool, input.nowMs);
  const roundMs = input.fleet.maintenance.typicalMs ?? policy.rebootLimitMs;
  const isStuck = policy.maintenanceFrozen || board.budget === 0;
  const tookMs = (computeRounds(board) * roundMs) / computeOpenShare(policy);
  const finishAtMs = isStuck ? undefined : input.nowMs + tookMs;
  const latestDueMs = Math.max(...board.candidates.map(({ dueAtMs }) => dueAtMs), -Infinity);
  const isLate = finishAtMs === undefined || finishAtMs > latestDueMs;
  return { pool, remaining, finishAtMs, isLate, hold };
}

/** Forecasts every pool that has instances to maintain, the latest to finish first. */
export function listForecasts(input: WaveInput): readonly PoolForecast[] {
  return listBoards(input)
    .map((board) => makeForecast(input, board))
    .sort((a, b) => (b.finishAtMs ?? Infinity) - (a.finishAtMs ?? Infinity) || 0);
}
