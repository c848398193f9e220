/**
 * Shares of a service's slots among the live entries, in proportion to what each is asked, with a
 * floor, and their places at the upstream processes. Each entry counts as asked for an equal share on
 * top of its demand, so that small numbers do not swing the shares. Every entry computes the same whole numbers from
 * the same demand, so no upstream is given more than its slots without agreement among entries.
 */
import murmur from 'imurmurhash';

/** Demand of one entry at one service. */
export interface EntryDemand {
  readonly id: string;
  /** Requests running and waiting there. */
  readonly demand: number;
}

/** Part of the slots that is shared equally, however little an entry is asked. */
const FLOOR_SHARE = 0.2;

interface Part {
  readonly id: string;
  readonly exact: number;
  readonly rank: number;
}

/** Orders by the fraction that rounding down leaves, and by a hash where fractions are equal. */
function compareRemainders(a: Part, b: Part): number {
  return (b.exact % 1) - (a.exact % 1) || a.rank - b.rank;
}

/** Computes each entry's slots of a service; they add up to the given number of slots. */
export function computeSlotShares(
  service: string,
  slots: number,
  entries: readonly EntryDemand[],
): ReadonlyMap<string, number> {
  const equal = slots / entries.length;
  const total = entries.reduce((sum, { demand }) => sum + demand, slots);
  const parts = entries
    .map(({ id, demand }): Part => {
      const asked = total > 0 ? (slots * (demand + equal)) / total : 0;
      const exact = FLOOR_SHARE * equal + (1 - FLOOR_SHARE) * asked;
      return { id, exact, rank: murmur(`${service} ${id}`).result() };
    })
    .sort((a, b) => a.rank - b.rank);
  const shares = new Map(parts.map(({ id, exact }) => [id, Math.floor(exact)]));
  const given = parts.reduce((sum, { exact }) => sum + Math.floor(exact), 0);
  [...parts]
    .sort(compareRemainders)
    .slice(0, slots - given)
    .forEach(({ id }) => shares.set(id, (shares.get(id) ?? 0) + 1));
  return shares;
}

/** Part by which an entry's share may grow in one exchange. */
const GROWTH_SHARE = 0.25;

/**
 * Limits how fast a share grows. What an entry is asked reaches its peers later than itself, so in a
 * sudden rush every entry would otherwise take what the others still hold. An equal share is its own
 * at any time.
 */
export function computeNextShare(current: number, wanted: number, equal: number): number {
  return Math.min(wanted, Math.ceil(Math.max(current, equal) * (1 + GROWTH_SHARE)));
}

/**
 * Deals the slots of a service's processes to entries, entry after entry over the processes in turn,
 * and gives how many of each process are one entry's own, up to a limit.
 */
export function spreadSlots(
  shares: ReadonlyMap<string, number>,
  own: string,
  processes: readonly string[],
  limit = Infinity,
): ReadonlyMap<string, number> {
  const dealt = new Map(processes.map((id) => [id, 0]));
  const ordered = [...processes].sort();
  let position = 0;
  shares.forEach((count, id) => {
    for (let index = 0; id === own && index < Math.min(count, limit); index += 1) {
      const process = ordered[(position + index) % ordered.length] ?? '';
      dealt.set(process, (dealt.get(process) ?? 0) + 1);
    }
    position += count;
  });
  return dealt;
}
