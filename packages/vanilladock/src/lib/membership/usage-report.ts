/**
 * Which teams' demand an entry tells a peer: those whose demand has moved by more than a threshold
 * since the peer was last told, the largest moves first, and the oldest again from time to time, as
 * datagrams may be lost.
 */

/** Demand of one team, in requests a second. */
export interface TeamDemand {
  readonly team: string;
  readonly perSecond: number;
}

/** Reports to one peer. */
export interface UsageReport {
  /** Chooses what to tell now, at most so many teams, and takes it as told. */
  readonly takeChanges: (
    demand: ReadonlyMap<string, number>,
    limit: number,
    nowMs: number,
  ) => readonly TeamDemand[];
}

/** Moves below this part of what was told are left out. */
const RELATIVE_THRESHOLD = 0.1;
/** Moves below this are left out, in requests a second. */
const ABSOLUTE_THRESHOLD = 0.5;
/** What was told longer ago than this is told again, in milliseconds. */
const REFRESH_MS = 30_000;

interface Told {
  readonly perSecond: number;
  readonly atMs: number;
}

/** Computes how far a team's demand has moved, by the threshold; above 1 it is to be told. */
export function computeMove(told: number, demand: number): number {
  return Math.abs(demand - told) / Math.max(ABSOLUTE_THRESHOLD, told * RELATIVE_THRESHOLD);
}

/** Creates the reports to a peer that was told nothing yet. */
export function createUsageReport(): UsageReport {
  const told = new Map<string, Told>();
  return {
    takeChanges: (demand, limit, nowMs) => {
      const teams = [...new Set([...demand.keys(), ...told.keys()])];
      const moves = teams.map((team) => {
        const perSecond = demand.get(team) ?? 0;
        const last = told.get(team) ?? { perSecond: 0, atMs: nowMs };
        const isOld = nowMs - last.atMs > REFRESH_MS && last.perSecond + perSecond > 0;
        const move = computeMove(last.perSecond, perSecond);
        return { team, perSecond, move: isOld ? Math.max(move, 1) : move };
      });
      const changes = moves
        .filter(({ move }) => move >= 1)
        .sort((a, b) => b.move - a.move)
        .slice(0, limit)
        .map(({ team, perSecond }) => ({ team, perSecond }));
      changes.forEach(({ team, perSecond }) => told.set(team, { perSecond, atMs: nowMs }));
      return changes;
    },
  };
}
