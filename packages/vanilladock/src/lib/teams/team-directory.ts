/**
 * Teams of a configuration and their keys. Keys are kept as digests and found by digest, so that
 * the time of a look-up says nothing about the keys, and no key can reach a log line.
 */
import { hash } from 'node:crypto';
import type { Resources } from '../ports/workers.js';

/** A team of callers. */
export interface TeamConfig {
  readonly name: string;
  /** Jobs a second that the team is entitled to; also its share of what is contended for. */
  readonly jobsPerSecond: number;
  /** What the team's tasks may use at a time, over all pools; 0 of a resource is no limit. */
  readonly limit: Resources;
}

/** Teams of one version of the configuration. */
export interface TeamDirectory {
  /** Teams by name. */
  readonly teams: ReadonlyMap<string, TeamConfig>;
  /** Finds the team that holds a key; undefined if none does. */
  readonly findByKey: (key: string) => TeamConfig | undefined;
  readonly countKeys: () => number;
}

/** A team with its keys, as the operators write it. */
export interface TeamKeys {
  readonly team: TeamConfig;
  readonly keys: readonly string[];
}

/** Number of hex digits of a key's digest in log lines. */
const KEY_LABEL_DIGITS = 8;

/** Computes the digest of a key, in base64. */
function computeDigest(key: string): string {
  return hash('sha256', key, 'base64');
}

/** Makes the text that stands for a key in log lines: the start of its digest, in hex. */
export function makeKeyLabel(key: string): string {
  return hash('sha256', key, 'hex').slice(0, KEY_LABEL_DIGITS);
}

/** Creates the directory; a key of two teams belongs to the first of them. */
export function createTeamDirectory(entries: readonly TeamKeys[]): TeamDirectory {
  const teams = new Map(entries.map(({ team }) => [team.name, team]));
  const teamsByDigest = new Map<string, TeamConfig>();
  entries.forEach(({ team, keys }) =>
    keys.forEach((key) => {
      const digest = computeDigest(key);
      if (!teamsByDigest.has(digest)) teamsByDigest.set(digest, team);
    }),
  );
  return {
    teams,
    findByKey: (key) => teamsByDigest.get(computeDigest(key)),
    countKeys: () => teamsByDigest.size,
  };
}
