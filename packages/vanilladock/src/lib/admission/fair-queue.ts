/**
 * Weighted fair queue of one service, in two levels. Urgencies share the service by start-time fair
 * queueing over their weights, and teams share an urgency in the same way. Requests of one team are
 * served in order of arrival. Every operation costs O(log teams), amortised.
 */
import { Heap } from 'mnemonist';
import { addCount, type Leaf, type ShareTree, type UrgencyClass } from './share-tree.js';
import { createWaiterList, type WaiterList } from './waiter-list.js';

/** An item of a fair queue. */
export interface QueueItem {
  /** Team and urgency that the item counts against. */
  readonly leaf: Leaf;
}

/** A weighted fair queue. */
export interface FairQueue<T extends QueueItem> {
  /** Appends an item to the list of its leaf. */
  readonly add: (item: T) => void;
  /** Removes a waiting item; returns false when it was not waiting. */
  readonly remove: (item: T) => boolean;
  /**
   * Removes the next item and charges its leaf the estimated service time, in milliseconds, and the
   * leaf's debt; undefined when none waits.
   */
  readonly takeNext: (estimateMs: (leaf: Leaf) => number) => T | undefined;
  /**
   * Finds the newest item of the team that uses the most of the queue relative to its weight,
   * within the class that does so; undefined when none waits. The item stays in the queue.
   */
  readonly findEvictionCandidate: () => T | undefined;
  /** Lists the waiting items, grouped by leaf and not in the order of service. */
  readonly listItems: () => readonly T[];
}

interface HeapEntry {
  readonly leaf: Leaf;
  readonly key: number;
}

/** Stale entries that the occupancy heap of a class may hold, besides two for each leaf. */
const COMPACT_SLACK_ENTRIES = 64;

/** Computes the number of waiting items of a leaf or a class, divided by its weight. */
export function computeOccupancy({ waiting, weight }: Leaf | UrgencyClass): number {
  return waiting / weight;
}

/** Creates an empty fair queue over a share tree. */
export function createFairQueue<T extends QueueItem>(tree: ShareTree): FairQueue<T> {
  const lists = new Map<Leaf, WaiterList<T>>();
  const leavesByVirtualTime = new Map(
    tree.classList.map((member) => [member, new Heap<HeapEntry>((a, b) => a.key - b.key)]),
  );
  const leavesByOccupancy = new Map(
    tree.classList.map((member) => [member, new Heap<HeapEntry>((a, b) => b.key - a.key)]),
  );

  /** Key of each leaf's valid entry in `leavesByVirtualTime`, so that a leaf has only one. */
  const currentKeys = new Map<Leaf, number>();

  const getList = (leaf: Leaf) => {
    const list = lists.get(leaf) ?? createWaiterList<T>();
    lists.set(leaf, list);
    return list;
  };
  /** Adds a leaf to the heap of its class, unless its entry there is still valid. */
  const scheduleLeaf = (leaf: Leaf) => {
    if (currentKeys.get(leaf) === leaf.virtualMs) return;
    currentKeys.set(leaf, leaf.virtualMs);
    leavesByVirtualTime.get(leaf.urgencyClass)?.push({ leaf, key: leaf.virtualMs });
  };
  const recordOccupancy = (leaf: Leaf) => {
    const heap = leavesByOccupancy.get(leaf.urgencyClass);
    if (heap === undefined || leaf.waiting === 0) return;
    heap.push({ leaf, key: computeOccupancy(leaf) });
    if (heap.size <= COMPACT_SLACK_ENTRIES + 2 * leaf.urgencyClass.leaves.size) return;
    heap.clear();
    leaf.urgencyClass.leaves.forEach((sibling) => {
      if (sibling.waiting > 0) heap.push({ leaf: sibling, key: computeOccupancy(sibling) });
    });
  };
  /**
   * Prepares an idle leaf for its first item: advances its virtual time, so that it has gained no
   * credit while idle, and adds it to the heap of its class.
   */
  const activateLeaf = (leaf: Leaf) => {
    const { urgencyClass: parent } = leaf;
    if (parent.waiting === 0) parent.virtualMs = Math.max(parent.virtualMs, tree.virtualMs);
    leaf.virtualMs = Math.max(leaf.virtualMs, parent.leafVirtualMs);
    scheduleLeaf(leaf);
  };
  const add = (item: T) => {
    const { leaf } = item;
    if (leaf.waiting === 0) activateLeaf(leaf);
    getList(leaf).append(item);
    addCount(tree, leaf, 'waiting', 1);
    recordOccupancy(leaf);
  };
  const remove = (item: T) => {
    const { leaf } = item;
    if (!getList(leaf).remove(item)) return false;
    addCount(tree, leaf, 'waiting', -1);
    recordOccupancy(leaf);
    return true;
  };
  const dropFirstLeaf = (parent: UrgencyClass) => {
    const top = leavesByVirtualTime.get(parent)?.pop();
    if (top !== undefined && currentKeys.get(top.leaf) === top.key) currentKeys.delete(top.leaf);
  };
  const findNextClass = () =>
    tree.classList
      .filter(({ waiting }) => waiting > 0)
      .reduce<UrgencyClass | undefined>(
        (best, other) => (best === undefined || other.virtualMs < best.virtualMs ? other : best),
        undefined,
      );
  const findNextLeaf = (parent: UrgencyClass) => {
    const heap = leavesByVirtualTime.get(parent);
    for (let top = heap?.peek(); top !== undefined; top = heap?.peek()) {
      if (top.leaf.waiting > 0 && top.key === top.leaf.virtualMs) return top.leaf;
      dropFirstLeaf(parent);
    }
    return undefined;
  };
  const addCharge = (leaf: Leaf, costMs: number) => {
    const { urgencyClass: parent } = leaf;
    tree.virtualMs = parent.virtualMs;
    parent.virtualMs += costMs / parent.weight;
    parent.leafVirtualMs = leaf.virtualMs;
    leaf.virtualMs += costMs / leaf.weight;
    leaf.debtMs = 0;
  };

  return {
    add,
    remove,
    takeNext: (estimateMs) => {
      const parent = findNextClass();
      const leaf = parent === undefined ? undefined : findNextLeaf(parent);
      if (leaf === undefined) return undefined;
      const item = getList(leaf).getFirst();
      if (item === undefined) return undefined;
      remove(item);
      dropFirstLeaf(leaf.urgencyClass);
      addCharge(leaf, Math.max(0, estimateMs(leaf) + leaf.debtMs));
      if (leaf.waiting > 0) scheduleLeaf(leaf);
      return item;
    },
    findEvictionCandidate: () => {
      const parent = tree.classList.reduce((most, candidate) =>
        computeOccupancy(candidate) > computeOccupancy(most) ? candidate : most,
      );
      const heap = leavesByOccupancy.get(parent);
      for (let top = heap?.peek(); top !== undefined; top = heap?.peek()) {
        if (top.key === computeOccupancy(top.leaf)) return getList(top.leaf).getLast();
        heap?.pop();
      }
      return undefined;
    },
    listItems: () => [...lists.values()].flatMap((list) => list.listItems()),
  };
}
