/** Formats configuration changes for the terminal, with what each change affects. */
import type { ConfigChange, AffectedCounts } from 'vanilladock';

const AFFECTED_NAMES = {
  dataCentres: ['data centre', 'data centres'],
  pools: ['pool', 'pools'],
  services: ['service', 'services'],
  teams: ['team', 'teams'],
} as const;

/** Formats the counts of what a change affects, such as `3 pools, 1 team`. */
function formatAffectedCounts(counts: AffectedCounts): string {
  const parts = (Object.keys(AFFECTED_NAMES) as (keyof typeof AFFECTED_NAMES)[])
    .filter((name) => counts[name] > 0)
    .map((name) => `${counts[name]} ${AFFECTED_NAMES[name][counts[name] === 1 ? 0 : 1]}`);
  return parts.length === 0 ? 'nothing' : parts.join(', ');
}

/** Formats one change. */
function formatChange({ kind, path, before, after, touched }: ConfigChange): string {
  const where = path === '' ? 'the whole configuration' : path;
  const effect = `affects ${formatAffectedCounts(touched)}`;
  switch (kind) {
    case 'added':
      return `+ ${where} ${after === undefined ? '' : JSON.stringify(after)} (${effect})`;
    case 'removed':
      return `- ${where} ${JSON.stringify(before)} (${effect})`;
    case 'changed':
      return `~ ${where}: ${JSON.stringify(before)} becomes ${JSON.stringify(after)} (${effect})`;
    default:
      return kind satisfies never;
  }
}

/** Formats changes, one per line. */
export function formatChanges(changes: readonly ConfigChange[]): string {
  return changes.length === 0 ? 'nothing changes' : changes.map(formatChange).join('\n');
}
