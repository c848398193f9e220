/**
 * Share tree of one service: a class for each urgency and, within it, a leaf for each team. Leaves
 * count the requests that wait and the refused callers that are due to retry. From the counts
 * follows the share of the service rate that each leaf can expect while the others have work too.
 */
import { URGENCIES, type Urgency } from '../config/schema.js';

/** Weight of each urgency while all three have work; the others use what one leaves unused. */
export const URGENCY_WEIGHTS: Readonly<Record<Urgency, number>> = {
  quick: 4,
  heavy: 3,
  patient: 3,
};

/**
 * The counts of a leaf, a class or a whole service: `waiting` requests, and `promised` retries,
 * which are refused callers whose retry time has not come yet.
 */
export type CountName = 'waiting' | 'promised';

/** One team within one urgency at one service. */
export interface Leaf {
  readonly team: string;
  readonly urgencyClass: UrgencyClass;
  weight: number;
  waiting: number;
  promised: number;
  /** Virtual time: service received so far, in milliseconds divided by weight. */
  virtualMs: number;
  /** Actual minus estimated service time that is not charged yet, in milliseconds. */
  debtMs: number;
}

/** One urgency at one service. */
export interface UrgencyClass {
  readonly urgency: Urgency;
  readonly weight: number;
  /** Leaves by team; they stay when they have no work. */
  readonly leaves: Map<string, Leaf>;
  waiting: number;
  promised: number;
  /** Sum of the weights of the leaves with waiting requests. */
  waitingWeight: number;
  /** Sum of the weights of the leaves with waiting requests or promised retries. */
  backlogWeight: number;
  /** Virtual time: service received so far, in milliseconds divided by the class's weight. */
  virtualMs: number;
  /** Virtual time of the leaf that was served most recently, before it was charged for that. */
  leafVirtualMs: number;
}

/** The urgency classes of one service, and the counts over all of them. */
export interface ShareTree {
  readonly classes: Readonly<Record<Urgency, UrgencyClass>>;
  /** The same classes as a list, most urgent first. */
  readonly classList: readonly UrgencyClass[];
  waiting: number;
  promised: number;
  /** Virtual time of the class that was served most recently, before it was charged for that. */
  virtualMs: number;
}

/** Makes an urgency class without leaves. */
function makeUrgencyClass(urgency: Urgency): UrgencyClass {
  return {
    urgency,
    weight: URGENCY_WEIGHTS[urgency],
    leaves: new Map(),
    waiting: 0,
    promised: 0,
    waitingWeight: 0,
    backlogWeight: 0,
    virtualMs: 0,
    leafVirtualMs: 0,
  };
}

/** Makes the share tree of a service that has had no requests. */
export function makeShareTree(): ShareTree {
  const classList = URGENCIES.map(makeUrgencyClass);
  const classes = Object.fromEntries(classList.map((member) => [member.urgency, member]));
  return {
    classes: classes as Record<Urgency, UrgencyClass>,
    classList,
    waiting: 0,
    promised: 0,
    virtualMs: 0,
  };
}

/** Adds a leaf's weight to the sums of its class, or subtracts it with a sign of -1. */
function addWeight(leaf: Leaf, sign: 1 | -1): void {
  const { urgencyClass: parent } = leaf;
  if (leaf.waiting > 0) parent.waitingWeight += sign * leaf.weight;
  if (leaf.waiting + leaf.promised > 0) parent.backlogWeight += sign * leaf.weight;
}

/** Gets the leaf of a team, created if missing, and updates its weight. */
export function getLeaf(tree: ShareTree, urgency: Urgency, team: string, weight: number): Leaf {
  const urgencyClass = tree.classes[urgency];
  const found = urgencyClass.leaves.get(team);
  if (found === undefined) {
    const counts = { waiting: 0, promised: 0, virtualMs: 0, debtMs: 0 };
    const leaf: Leaf = { team, urgencyClass, weight, ...counts };
    urgencyClass.leaves.set(team, leaf);
    return leaf;
  }
  if (found.weight !== weight) {
    addWeight(found, -1);
    found.weight = weight;
    addWeight(found, 1);
  }
  return found;
}

/** Changes one count of a leaf, and the same count of its class and its tree. */
export function addCount(tree: ShareTree, leaf: Leaf, name: CountName, change: number): void {
  const { urgencyClass: parent } = leaf;
  addWeight(leaf, -1);
  leaf[name] += change;
  addWeight(leaf, 1);
  parent[name] += change;
  tree[name] += change;
  if (parent.waiting === 0) parent.waitingWeight = 0;
  if (parent.waiting + parent.promised === 0) parent.backlogWeight = 0;
}

/** Sums the weights of the classes that have work, and of the given class in any case. */
function sumClassWeights(
  tree: ShareTree,
  own: UrgencyClass,
  hasWork: (candidate: UrgencyClass) => boolean,
) {
  return tree.classList.reduce(
    (sum, candidate) => sum + (candidate === own || hasWork(candidate) ? candidate.weight : 0),
    0,
  );
}

/** Which work an estimate counts: `waiting` requests only, or in `backlog` promised retries too. */
export type WaitScope = 'waiting' | 'backlog';

/** Counts the work of a leaf, a class or a service in a scope. */
function countWork(node: Leaf | UrgencyClass | ShareTree, scope: WaitScope): number {
  return scope === 'waiting' ? node.waiting : node.waiting + node.promised;
}

/**
 * Estimates the time until a request of a leaf is served, in milliseconds.
 *
 * Weighted fair queueing serves it at the latest when the leaf's share of the rate has served the
 * requests ahead in the leaf, the class's share those in the class, or the whole rate those of the
 * service, whichever comes first.
 *
 * @param ahead - Requests of the same leaf that are served first.
 * @param scope - The work that competes for the rate.
 * @param ratePerMs - Requests that the service completes per millisecond.
 */
export function estimateTurnMs(
  tree: ShareTree,
  leaf: Leaf,
  ahead: number,
  scope: WaitScope,
  ratePerMs: number,
): number {
  const { urgencyClass: parent } = leaf;
  const hasWork = (candidate: UrgencyClass) => countWork(candidate, scope) > 0;
  const classRate = (ratePerMs * parent.weight) / sumClassWeights(tree, parent, hasWork);
  const activeWeight = scope === 'waiting' ? parent.waitingWeight : parent.backlogWeight;
  const leafWeights = activeWeight + (countWork(leaf, scope) > 0 ? 0 : leaf.weight);
  return Math.min(
    (ahead + 1) / (classRate * (leaf.weight / leafWeights)),
    (countWork(parent, scope) + 1) / classRate,
    (countWork(tree, scope) + 1) / ratePerMs,
  );
}
