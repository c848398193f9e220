/**
 * Rate quotas of teams, shared by all entries. Each entry admits its part of a team's quota with a
 * token bucket. The part is proportional to the entry's share of the team's demand over all
 * entries, so it follows the callers without coordination among entries.
 */

/** Team quotas at one entry. */
export interface Quotas {
  /**
   * Counts a request as demand and takes a token; returns undefined, or the milliseconds after
   * which to retry when none is left. `quotaPerSecond` is the team's quota over all entries, and
   * `nowMs` is on the monotonic clock.
   */
  readonly take: (team: string, quotaPerSecond: number, nowMs: number) => number | undefined;
  /**
   * Puts back the token of a request that was refused for another reason; its demand stays counted.
   */
  readonly release: (team: string) => void;
  /** Sets the demand at the other entries, in requests per second by team, and their number. */
  readonly setPeerDemand: (perTeam: ReadonlyMap<string, number>, peers: number) => void;
  /**
   * Lists the demand at this entry, in requests per second by team, as a decaying mean; teams below
   * 0.01 are omitted.
   */
  readonly listDemand: (nowMs: number) => ReadonlyMap<string, number>;
}

interface TeamQuota {
  tokens: number;
  updatedAtMs: number;
  /** Requests per second at this entry, decayed exponentially. */
  demand: number;
  /** Retry time of the most recently refused caller; later ones are spaced out after it. */
  lastRetryAtMs: number;
}

const MS_PER_SECOND = 1_000;
/** Time constant of the exponential decay of demand. */
const DEMAND_DECAY_MS = 2_000;
/** Size of a team's token bucket. */
export interface BurstSize {
  /** What the part of the quota yields in this time. */
  readonly seconds: number;
  /** Smallest size of the bucket, in requests. */
  readonly minRequests: number;
}

const DEFAULT_BURST: BurstSize = { seconds: 0.5, minRequests: 2 };
/** Fraction of an equal share that an entry keeps however low its demand is. */
const FLOOR_SHARE = 0.1;
/** Demand below which a team is not reported to peers, in requests per second. */
const MIN_DEMAND_PER_S = 0.01;

/**
 * Computes an entry's part of a quota from its own demand and that of its peers together, all in
 * requests per second. `peers` is the number of other entries. Without any demand the part is an
 * equal share, and it is never less than a tenth of that.
 */
export function computeQuotaPart(
  quota: number,
  demand: number,
  peerDemand: number,
  peers: number,
): number {
  const floor = (quota * FLOOR_SHARE) / (peers + 1);
  if (demand + peerDemand <= 0) return quota / (peers + 1);
  return Math.max(floor, (quota * demand) / (demand + peerDemand));
}

/** Creates the team quotas of one entry. */
export function createQuotas(burstSize: BurstSize = DEFAULT_BURST): Quotas {
  const teams = new Map<string, TeamQuota>();
  let peerDemand: ReadonlyMap<string, number> = new Map();
  let peerCount = 0;

  const getTeam = (team: string, quota: number, nowMs: number) => {
    const found = teams.get(team);
    if (found !== undefined) return found;
    const fresh = {
      tokens: quota / (peerCount + 1),
      updatedAtMs: nowMs,
      demand: 0,
      lastRetryAtMs: 0,
    };
    teams.set(team, fresh);
    return fresh;
  };
  const computeDemand = (state: TeamQuota, nowMs: number) =>
    state.demand * Math.exp((state.updatedAtMs - nowMs) / DEMAND_DECAY_MS);
  const updateTeam = (team: string, quota: number, nowMs: number) => {
    const state = getTeam(team, quota, nowMs);
    const elapsedMs = nowMs - state.updatedAtMs;
    state.demand = computeDemand(state, nowMs) + MS_PER_SECOND / DEMAND_DECAY_MS;
    state.updatedAtMs = nowMs;
    const part = computeQuotaPart(quota, state.demand, peerDemand.get(team) ?? 0, peerCount);
    const burst = Math.max(burstSize.minRequests, part * burstSize.seconds);
    state.tokens = Math.min(burst, state.tokens + (part * elapsedMs) / MS_PER_SECOND);
    return { state, part };
  };

  return {
    take: (team, quotaPerSecond, nowMs) => {
      const { state, part } = updateTeam(team, quotaPerSecond, nowMs);
      if (state.tokens >= 1) {
        state.tokens -= 1;
        return undefined;
      }
      const nextTokenAtMs = nowMs + ((1 - state.tokens) * MS_PER_SECOND) / part;
      state.lastRetryAtMs = Math.max(nextTokenAtMs, state.lastRetryAtMs + MS_PER_SECOND / part);
      return state.lastRetryAtMs - nowMs;
    },
    release: (team) => {
      const state = teams.get(team);
      if (state !== undefined) state.tokens += 1;
    },
    setPeerDemand: (perTeam, peers) => {
      peerDemand = perTeam;
      peerCount = peers;
    },
    listDemand: (nowMs) =>
      new Map(
        [...teams]
          .map(([team, state]) => [team, computeDemand(state, nowMs)] as const)
          .filter(([, demand]) => demand > MIN_DEMAND_PER_S),
      ),
  };
}
