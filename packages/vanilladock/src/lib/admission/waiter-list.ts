/** First-in, first-out list from which any item can be removed in constant time. */

/** A list of distinct items. */
export interface WaiterList<T> {
  /** Appends an item that is not in the list yet. */
  readonly append: (item: T) => void;
  /** Removes an item; returns false when it is not in the list. */
  readonly remove: (item: T) => boolean;
  /** Gets the oldest item; undefined when the list is empty. */
  readonly getFirst: () => T | undefined;
  /** Gets the newest item; undefined when the list is empty. */
  readonly getLast: () => T | undefined;
  /** Lists the items, oldest first. */
  readonly listItems: () => readonly T[];
}

interface Node<T> {
  readonly item: T;
  previous: Node<T> | undefined;
  next: Node<T> | undefined;
}

/** Creates an empty list. */
export function createWaiterList<T>(): WaiterList<T> {
  const nodes = new Map<T, Node<T>>();
  let first: Node<T> | undefined;
  let last: Node<T> | undefined;
  return {
    append: (item) => {
      const node: Node<T> = { item, previous: last, next: undefined };
      nodes.set(item, node);
      if (last === undefined) first = node;
      else last.next = node;
      last = node;
    },
    remove: (item) => {
      const node = nodes.get(item);
      if (node === undefined) return false;
      nodes.delete(item);
      if (node.previous === undefined) first = node.next;
      else node.previous.next = node.next;
      if (node.next === undefined) last = node.previous;
      else node.next.previous = node.previous;
      return true;
    },
    getFirst: () => first?.item,
    getLast: () => last?.item,
    listItems: () => [...nodes.keys()],
  };
}
