/**
 * Divides a service's slots among the live entries, in proportion to demand and with a floor, and
 * assigns each entry its slots at the upstream processes. An equal share is added to each entry's
 * demand so that small numbers do not make the shares fluctuate. Every entry computes the same
 * whole numbers from the same demand, so no upstream gets more requests than its slots, and the
 * entries need no coordination.
 */
import murmur from 'imurmurhash';

/** Demand of one entry at one service. */
export interface EntryDemand {
  readonly id: string;
  /** Requests running and waiting at the entry. */
  readonly demand: number;
}

/** Fraction of the slots that is divided equally, however low an entry's demand is. */
const FLOOR_SHARE = 0.2;

interface ExactShare {
  readonly id: string;
  /** Slots before rounding. */
  readonly exact: number;
  /** Hash that orders entries in the same way everywhere. */
  readonly rank: number;
}

/** Orders shares by the fraction lost in rounding down, largest first, and equal ones by hash. */
function compareRemainders(a: ExactShare, b: ExactShare): number {
  return (b.exact % 1) - (a.exact % 1) || a.rank - b.rank;
}

/**
 * Computes how many slots of a service each entry gets, by entry id; the shares are whole numbers
 * that add up to `slots`. The map is in an order that is equal at all entries, on which
 * `spreadSlots` relies; it is empty without entries.
 */
export function computeSlotShares(
  service: string,
  slots: number,
  entries: readonly EntryDemand[],
): ReadonlyMap<string, number> {
  const equalShare = slots / entries.length;
  const totalDemand = entries.reduce((sum, { demand }) => sum + demand, slots);
  const exactShares = entries
    .map(({ id, demand }): ExactShare => {
      const byDemand = totalDemand > 0 ? (slots * (demand + equalShare)) / totalDemand : 0;
      const exact = FLOOR_SHARE * equalShare + (1 - FLOOR_SHARE) * byDemand;
      return { id, exact, rank: murmur(`${service} ${id}`).result() };
    })
    .sort((a, b) => a.rank - b.rank);
  const shares = new Map(exactShares.map(({ id, exact }) => [id, Math.floor(exact)]));
  const assigned = exactShares.reduce((sum, { exact }) => sum + Math.floor(exact), 0);
  [...exactShares]
    .sort(compareRemainders)
    .slice(0, slots - assigned)
    .forEach(({ id }) => shares.set(id, (shares.get(id) ?? 0) + 1));
  return shares;
}

/** Fraction by which an entry's share may grow in one exchange with its peers. */
const GROWTH_SHARE = 0.25;

/**
 * Computes the share that an entry uses next, in slots. In one exchange with its peers it grows
 * from `current` or the equal share, if that is larger, by at most a quarter; it shrinks at once.
 * An entry knows its own demand earlier than its peers do, so in a sudden rush every entry would
 * otherwise take slots that the others still use. An entry may use an equal share at any time.
 */
export function computeNextShare(current: number, wanted: number, equalShare: number): number {
  return Math.min(wanted, Math.ceil(Math.max(current, equalShare) * (1 + GROWTH_SHARE)));
}

/**
 * Assigns the slots of a service's processes to the entries, round-robin over the processes in one
 * fixed order, and returns the number of slots that one entry gets at each process; 0 for the
 * processes where it gets none.
 *
 * @param shares - Slots by entry, as `computeSlotShares` returns them.
 * @param ownId - Id of the entry whose slots are returned.
 * @param limit - Largest number of slots that the entry gets in all.
 */
export function spreadSlots(
  shares: ReadonlyMap<string, number>,
  ownId: string,
  processes: readonly string[],
  limit = Infinity,
): ReadonlyMap<string, number> {
  const assigned = new Map(processes.map((id) => [id, 0]));
  const orderedIds = [...processes].sort();
  let nextPosition = 0;
  shares.forEach((count, id) => {
    for (let index = 0; id === ownId && index < Math.min(count, limit); index += 1) {
      const process = orderedIds[(nextPosition + index) % orderedIds.length] ?? '';
      assigned.set(process, (assigned.get(process) ?? 0) + 1);
    }
    nextPosition += count;
  });
  return assigned;
}
