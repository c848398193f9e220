/**
 * Shares of a service's slots among the live entries, in proportion to what each is asked, with a
 * floor, and their places at the upstream processes. Every entry computes the same whole numbers from
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
  const total = entries.reduce((sum, { demand }) => sum + demand, 0);
  const parts = entries
    .map(({ id, demand }): Part => {
      const equal = 1 / entries.length;
      const asked = total > 0 ? demand / total : equal;
      const exact = slots * (FLOOR_SHARE * equal + (1 - FLOOR_SHARE) * asked);
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

/**
 * Deals the slots of a service's processes to entries, entry after entry over the processes in turn,
 * and gives how many of each process are one entry's own.
 */
export function spreadSlots(
  shares: ReadonlyMap<string, number>,
  own: string,
  processes: readonly string[],
): ReadonlyMap<string, number> {
  const dealt = new Map(processes.map((id) => [id, 0]));
  const ordered = [...processes].sort();
  let position = 0;
  shares.forEach((count, id) => {
    for (let index = 0; id === own && index < count; index += 1) {
      const process = ordered[(position + index) % ordered.length] ?? '';
      dealt.set(process, (dealt.get(process) ?? 0) + 1);
    }
    position += count;
  });
  return dealt;
}
