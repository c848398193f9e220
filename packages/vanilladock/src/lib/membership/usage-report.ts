/**
 * Selects the teams whose demand an entry reports to a peer: those whose demand has changed by more
 * than a threshold since the last report, the largest changes first. Older values are repeated
 * after some time, because datagrams may be lost.
 */

/** Demand of one team, in requests per second. */
export interface TeamDemand {
  readonly team: string;
  readonly perSecond: number;
}

/** Reports of team demand to one peer. */
export interface UsageReport {
  /**
   * Selects at most `limit` teams to report now and marks them as reported, whether or not the
   * report arrives. `demand` is in requests per second by team; a team that is absent counts as 0.
   * The result is empty when there is nothing to report. `nowMs` must not go back.
   */
  readonly takeChanges: (
    demand: ReadonlyMap<string, number>,
    limit: number,
    nowMs: number,
  ) => readonly TeamDemand[];
}

/** Changes below this share of the reported value are omitted. */
const MIN_CHANGE_SHARE = 0.1;
/** Changes below this are omitted, in requests per second. */
const MIN_CHANGE_PER_SECOND = 0.1;
/** Age from which a reported value is repeated, in milliseconds. */
const REFRESH_MS = 30_000;

/** Demand of a team as last reported, with the time of the report. */
interface ReportedDemand {
  readonly perSecond: number;
  readonly atMs: number;
}

/**
 * Computes the change of a team's demand relative to the threshold, both values in requests per
 * second; 1 or more is reported. The sign of the change makes no difference.
 */
export function computeRelativeChange(previous: number, demand: number): number {
  return Math.abs(demand - previous) / Math.max(MIN_CHANGE_PER_SECOND, previous * MIN_CHANGE_SHARE);
}

/** Creates the reports to a peer that has received none yet. */
export function createUsageReport(): UsageReport {
  const reported = new Map<string, ReportedDemand>();
  return {
    takeChanges: (demand, limit, nowMs) => {
      const teams = [...new Set([...demand.keys(), ...reported.keys()])];
      const candidates = teams.map((team) => {
        const perSecond = demand.get(team) ?? 0;
        const lastReport = reported.get(team) ?? { perSecond: 0, atMs: nowMs };
        const isStale =
          nowMs - lastReport.atMs > REFRESH_MS && lastReport.perSecond + perSecond > 0;
        const change = computeRelativeChange(lastReport.perSecond, perSecond);
        return { team, perSecond, move: isStale ? Math.max(change, 1) : change };
      });
      const changes = candidates
        .filter(({ move }) => move >= 1)
        .sort((a, b) => b.move - a.move)
        .slice(0, limit)
        .map(({ team, perSecond }) => ({ team, perSecond }));
      changes.forEach(({ team, perSecond }) => reported.set(team, { perSecond, atMs: nowMs }));
      return changes;
    },
  };
}
