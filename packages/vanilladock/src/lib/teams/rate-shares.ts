/**
 * Tells the jobs of a team within its rate from those beyond it. Load pattern: one team sends several
 * times its usual for some seconds and would take the room of the others. Each planner counts its
 * part of the team's rate, in proportion to the team's demand in its pool; jobs beyond it are placed
 * last and refused first, and are served like others while there is room.
 */
import { createQuotas } from '../admission/quota.js';

/** Rates of the teams in one pool. */
export interface RateShares {
  /**
   * Counts a job that a team with the given rate, in jobs a second, submits at the monotonic time
   * `nowMs`. Returns the milliseconds after which the team is within its rate again; undefined for a
   * job within it.
   */
  readonly take: (team: string, jobsPerSecond: number, nowMs: number) => number | undefined;
  /** Gives back what a job took that was refused for another reason than the rate. */
  readonly release: (team: string) => void;
  /** Sets what the teams submit to the other pools, in jobs a second, and the number of these. */
  readonly setOthers: (jobsPerSecond: ReadonlyMap<string, number>, pools: number) => void;
  /** Lists what the teams submit to this pool, in jobs a second. */
  readonly list: (nowMs: number) => ReadonlyMap<string, number>;
}

/** Jobs come in bursts: what the rate yields in this time may come at once. */
const BURST = { seconds: 2, minRequests: 4 };

/** Creates the rates of a pool. */
export function createRateShares(): RateShares {
  const quotas = createQuotas(BURST);
  const { take, release, setPeerDemand: setOthers, listDemand: list } = quotas;
  return { take, release, setOthers, list };
}
