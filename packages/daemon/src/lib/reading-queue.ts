/**
 * Order in which connections are read that have to wait for it. Load pattern: a thousand connections
 * at once whose bytes take long to work off, and ordinary callers among them; which is which shows only
 * when a connection is read. So after each reading that took long another way to choose the next one
 * has its turn, and connections that have taken long come last, but for one of them now and then, as
 * others may keep coming for good.
 */

/** What is known of a connection: it was never read, was read in a short time, or has taken long. */
export type WaitingKind = 'new' | 'light' | 'heavy';

/** Connections that wait to be read. */
export interface ReadingQueue<T> {
  /** Adds one that is not in the queue. */
  readonly add: (item: T, kind: WaitingKind) => void;
  readonly remove: (item: T) => void;
  readonly has: (item: T) => boolean;
  readonly count: () => number;
  /** Counts those that are not light. */
  readonly countUnproved: () => number;
  /** Takes those out of the queue that are to be read next: a few, or one that is heavy. */
  readonly takeNext: () => readonly T[];
  /** Notes that a reading took long. */
  readonly observeLongRead: () => void;
  /**
   * Finds the one to close first, never `kept`: heavy, then new, then light; of a kind the one that
   * has waited longest.
   */
  readonly findFirstToClose: (kept?: T) => T | undefined;
}

/** Connections that are read at once, at most; heavy ones are read one by one. */
const MAX_BATCH_SIZE = 32;

/** One in so many choices takes a heavy one although others wait. */
const HEAVY_INTERVAL = 8;

/** Creates an empty queue. */
export function createReadingQueue<T>(): ReadingQueue<T> {
  const items = { new: new Set<T>(), light: new Set<T>(), heavy: new Set<T>() } as const;
  const findFirst = (kind: WaitingKind): T | undefined => items[kind].values().next().value;
  /** Ways to choose the next one. The newest may be an ordinary caller that came after a crowd. */
  const choices: readonly (() => T | undefined)[] = [
    () => findFirst('light'),
    () => [...items.new].at(-1),
    () => findFirst('new'),
  ];
  let choiceIndex = 0;
  /** Connections that are read at once; grows while no reading takes long. */
  let batchSize = 1;
  /** Choices since the last one of a heavy connection. */
  let othersTaken = 0;
  const chooseNext = (): T | undefined => {
    const turned = [...choices.slice(choiceIndex), ...choices.slice(0, choiceIndex)];
    for (const choose of turned) {
      const item = choose();
      if (item !== undefined) return item;
    }
    return undefined;
  };
  const remove = (item: T) => Object.values(items).forEach((set) => set.delete(item));
  const takeOthers = (): readonly T[] => {
    const taken: T[] = [];
    while (taken.length < batchSize) {
      const item = chooseNext();
      if (item === undefined) break;
      remove(item);
      taken.push(item);
    }
    batchSize = Math.min(2 * batchSize, MAX_BATCH_SIZE);
    return taken;
  };
  return {
    add: (item, kind) => void items[kind].add(item),
    remove,
    has: (item) => Object.values(items).some((set) => set.has(item)),
    count: () => items.new.size + items.light.size + items.heavy.size,
    countUnproved: () => items.new.size + items.heavy.size,
    takeNext: () => {
      othersTaken += 1;
      const taken = othersTaken < HEAVY_INTERVAL ? takeOthers() : [];
      if (taken.length > 0) return taken;
      const heaviest = findFirst('heavy');
      if (heaviest === undefined) return takeOthers();
      othersTaken = 0;
      remove(heaviest);
      return [heaviest];
    },
    observeLongRead: () => {
      choiceIndex = (choiceIndex + 1) % choices.length;
      batchSize = 1;
    },
    findFirstToClose: (kept) => {
      for (const set of [items.heavy, items.new, items.light]) {
        for (const item of set) if (item !== kept) return item;
      }
      return undefined;
    },
  };
}
