/**
 * Weighted fair queue of one service. Urgencies share the service by start-time fair queueing over
 * their weights, teams in the same way within an urgency, and one team's requests go first come,
 * first served. Every operation costs O(log teams), amortised.
 */
import { Heap } from 'mnemonist';
import { addCount, type Leaf, type ShareTree, type UrgencyClass } from './leaf.js';
import { createWaiterList, type WaiterList } from './waiter-list.js';

/** What a fair queue holds. */
export interface Waiting {
  readonly leaf: Leaf;
}

/** A weighted fair queue. */
export interface FairQueue<T extends Waiting> {
  readonly add: (item: T) => void;
  /** Removes a waiting item; false when it was not waiting. */
  readonly remove: (item: T) => boolean;
  /** Takes the next item and charges its leaf for the estimated service, in milliseconds. */
  readonly takeNext: (estimateMs: (leaf: Leaf) => number) => T | undefined;
  /** The newest item of the team that holds most of the queue for its weight, in the class that does. */
  readonly findMostOverShare: () => T | undefined;
  readonly listItems: () => readonly T[];
}

interface Ranked {
  readonly leaf: Leaf;
  readonly key: number;
}

const COMPACT_MIN = 64;

/** Computes how much of the queue a leaf holds for its weight. */
export function computeOccupancy({ waiting, weight }: Leaf | UrgencyClass): number {
  return waiting / weight;
}

/** Creates an empty fair queue over a share tree. */
export function createFairQueue<T extends Waiting>(tree: ShareTree): FairQueue<T> {
  const lists = new Map<Leaf, WaiterList<T>>();
  const nextUp = new Map(tree.all.map((one) => [one, new Heap<Ranked>((a, b) => a.key - b.key)]));
  const largest = new Map(tree.all.map((one) => [one, new Heap<Ranked>((a, b) => b.key - a.key)]));

  /** Key under which each leaf stands in its heap, so that it stands there once. */
  const standing = new Map<Leaf, number>();

  const getList = (leaf: Leaf) => {
    const list = lists.get(leaf) ?? createWaiterList<T>();
    lists.set(leaf, list);
    return list;
  };
  const setStanding = (leaf: Leaf) => {
    if (standing.get(leaf) === leaf.virtualMs) return;
    standing.set(leaf, leaf.virtualMs);
    nextUp.get(leaf.urgencyClass)?.push({ leaf, key: leaf.virtualMs });
  };
  const recordOccupancy = (leaf: Leaf) => {
    const heap = largest.get(leaf.urgencyClass);
    if (heap === undefined || leaf.waiting === 0) return;
    heap.push({ leaf, key: computeOccupancy(leaf) });
    if (heap.size <= COMPACT_MIN + 2 * leaf.urgencyClass.leaves.size) return;
    heap.clear();
    leaf.urgencyClass.leaves.forEach((one) => {
      if (one.waiting > 0) heap.push({ leaf: one, key: computeOccupancy(one) });
    });
  };
  const wakeLeaf = (leaf: Leaf) => {
    const { urgencyClass: parent } = leaf;
    if (parent.waiting === 0) parent.virtualMs = Math.max(parent.virtualMs, tree.virtualMs);
    leaf.virtualMs = Math.max(leaf.virtualMs, parent.leafVirtualMs);
    setStanding(leaf);
  };
  const add = (item: T) => {
    const { leaf } = item;
    if (leaf.waiting === 0) wakeLeaf(leaf);
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
  const dropTop = (parent: UrgencyClass) => {
    const top = nextUp.get(parent)?.pop();
    if (top !== undefined && standing.get(top.leaf) === top.key) standing.delete(top.leaf);
  };
  const findNextClass = () =>
    tree.all
      .filter(({ waiting }) => waiting > 0)
      .reduce<UrgencyClass | undefined>(
        (best, one) => (best === undefined || one.virtualMs < best.virtualMs ? one : best),
        undefined,
      );
  const findNextLeaf = (parent: UrgencyClass) => {
    const heap = nextUp.get(parent);
    for (let top = heap?.peek(); top !== undefined; top = heap?.peek()) {
      if (top.leaf.waiting > 0 && top.key === top.leaf.virtualMs) return top.leaf;
      dropTop(parent);
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
      dropTop(leaf.urgencyClass);
      addCharge(leaf, Math.max(0, estimateMs(leaf) + leaf.debtMs));
      if (leaf.waiting > 0) setStanding(leaf);
      return item;
    },
    findMostOverShare: () => {
      const parent = tree.all.reduce((most, one) =>
        computeOccupancy(one) > computeOccupancy(most) ? one : most,
      );
      const heap = largest.get(parent);
      for (let top = heap?.peek(); top !== undefined; top = heap?.peek()) {
        if (top.key === computeOccupancy(top.leaf)) return getList(top.leaf).getLast();
        heap?.pop();
      }
      return undefined;
    },
    listItems: () => [...lists.values()].flatMap((list) => list.listItems()),
  };
}
