/** Words changes of a configuration for people: what changes and whom it touches. */
import type { ConfigChange, Touched } from 'vanilladock';

const TOUCHED_NAMES = {
  dataCentres: ['data centre', 'data centres'],
  pools: ['pool', 'pools'],
  services: ['service', 'services'],
  teams: ['team', 'teams'],
} as const;

/** Words what a change touches, such as `3 pools, 1 team`. */
function formatTouched(touched: Touched): string {
  const parts = (Object.keys(TOUCHED_NAMES) as (keyof typeof TOUCHED_NAMES)[])
    .filter((name) => touched[name] > 0)
    .map((name) => `${touched[name]} ${TOUCHED_NAMES[name][touched[name] === 1 ? 0 : 1]}`);
  return parts.length === 0 ? 'nothing' : parts.join(', ');
}

/** Words one change. */
function formatChange({ kind, path, before, after, touched }: ConfigChange): string {
  const where = path === '' ? 'the whole configuration' : path;
  const touches = `touches ${formatTouched(touched)}`;
  switch (kind) {
    case 'added':
      return `+ ${where} ${after === undefined ? '' : JSON.stringify(after)} (${touches})`;
    case 'removed':
      return `- ${where} ${JSON.stringify(before)} (${touches})`;
    case 'changed':
      return `~ ${where}: ${JSON.stringify(before)} becomes ${JSON.stringify(after)} (${touches})`;
    default:
      return kind satisfies never;
  }
}

/** Words changes, one a line. */
export function formatChanges(changes: readonly ConfigChange[]): string {
  return changes.length === 0 ? 'nothing changes' : changes.map(formatChange).join('\n');
}
