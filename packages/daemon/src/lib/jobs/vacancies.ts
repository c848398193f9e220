/** Duties that nobody holds, with the time since when, and the claims that this instance has given up. */
import type { Claim, ClaimTable } from 'vanilladock/lib/duties/claim-table.js';

/** What vacancies are found from. */
export interface VacancyOptions {
  readonly listDuties: () => readonly string[];
  readonly table: ClaimTable;
}

/** Vacant duties. */
export interface Vacancies {
  /** Lists the vacant duties; the age of those that are not listed starts anew. */
  readonly list: (nowMs: number) => readonly string[];
  /** Tells for how long a duty has been vacant, in milliseconds. */
  readonly getAgeMs: (duty: string, nowMs: number) => number;
  /** Lets all ages start anew, after a time in which nothing was heard of holders. */
  readonly restart: () => void;
  /** Notes that this instance gives up a claim. */
  readonly observeDrop: (claim: Claim) => void;
  /** Says whether this instance gave up this claim or a newer one. */
  readonly wasDropped: (claim: Claim) => boolean;
}

/** Creates the vacancies of one instance. */
export function createVacancies({ listDuties, table }: VacancyOptions): Vacancies {
  const sinceMs = new Map<string, number>();
  const droppedTokens = new Map<string, number>();
  const isVacant = (duty: string, nowMs: number) => {
    const live = table.findLiveClaim(duty, nowMs);
    // A claim that this instance gave up keeps all others from claiming while it lives.
    return live === undefined || live.token === droppedTokens.get(duty);
  };
  return {
    list: (nowMs) => {
      const vacant = new Set(listDuties().filter((duty) => isVacant(duty, nowMs)));
      [...sinceMs.keys()]
        .filter((duty) => !vacant.has(duty))
        .forEach((duty) => sinceMs.delete(duty));
      vacant.forEach((duty) => {
        if (!sinceMs.has(duty)) sinceMs.set(duty, nowMs);
      });
      return [...vacant];
    },
    getAgeMs: (duty, nowMs) => nowMs - (sinceMs.get(duty) ?? nowMs),
    restart: () => sinceMs.clear(),
    observeDrop: ({ duty, token }) => {
      droppedTokens.set(duty, token);
    },
    wasDropped: ({ duty, token }) => token <= (droppedTokens.get(duty) ?? -1),
  };
}
