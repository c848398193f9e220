/**
 * Quotas of teams over all entries. Each entry lets through its part of a team's quota: the part is
 * its share of what all entries are asked, so it follows the callers without agreement among entries.
 */

/** Quotas at one entry. */
export interface Quotas {
  /** Takes a place in the team's quota; otherwise gives the milliseconds until one is free. */
  readonly take: (team: string, quotaPerSecond: number, nowMs: number) => number | undefined;
  /** Gives a place back that was not used. */
  readonly giveBack: (team: string) => void;
  /** Sets what the other entries are asked for each team, in requests a second, and their number. */
  readonly setPeerDemand: (perTeam: ReadonlyMap<string, number>, peers: number) => void;
  /** What this entry is asked for each team, in requests a second. */
  readonly listDemand: (nowMs: number) => ReadonlyMap<string, number>;
}

interface TeamQuota {
  tokens: number;
  updatedAtMs: number;
  /** Requests a second asked here, decayed. */
  demand: number;
  /** When the last caller that was refused should return. */
  returnAtMs: number;
}

const MS_PER_SECOND = 1_000;
const DEMAND_DECAY_MS = 2_000;
/** A team's bucket holds what its part gives in this time, in seconds. */
const BURST_S = 0.5;
const MIN_BURST = 2;
/** Part of an equal share that an entry keeps however little it is asked. */
const FLOOR_SHARE = 0.1;
const MIN_DEMAND = 0.01;

/** Computes an entry's part of a quota from the demand here and at its peers. */
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

/** Creates the quotas of one entry. */
export function createQuotas(): Quotas {
  const teams = new Map<string, TeamQuota>();
  let peerDemand: ReadonlyMap<string, number> = new Map();
  let peerCount = 0;

  const getTeam = (team: string, quota: number, nowMs: number) => {
    const found = teams.get(team);
    if (found !== undefined) return found;
    const fresh = { tokens: quota / (peerCount + 1), updatedAtMs: nowMs, demand: 0, returnAtMs: 0 };
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
    const burst = Math.max(MIN_BURST, part * BURST_S);
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
      const firstMs = nowMs + ((1 - state.tokens) * MS_PER_SECOND) / part;
      state.returnAtMs = Math.max(firstMs, state.returnAtMs + MS_PER_SECOND / part);
      return state.returnAtMs - nowMs;
    },
    giveBack: (team) => {
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
          .filter(([, demand]) => demand > MIN_DEMAND),
      ),
  };
}
