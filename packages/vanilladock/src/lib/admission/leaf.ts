/**
 * Shares of one service: a class for each urgency and, within it, a leaf for each team. Leaves count
 * what waits and what was told to come back, and give the share of the service rate that each may
 * expect while the others have work too.
 */
import { URGENCIES, type Urgency } from '../config/schema.js';

/** Share of each urgency while all three have work; what one leaves unused goes to the others. */
export const URGENCY_WEIGHTS: Readonly<Record<Urgency, number>> = {
  quick: 4,
  heavy: 3,
  patient: 3,
};

/** What is counted for a leaf, a class or a whole service. */
export type CountName = 'waiting' | 'promised';

/** One team's part of one urgency at one service. */
export interface Leaf {
  readonly team: string;
  readonly urgencyClass: UrgencyClass;
  weight: number;
  waiting: number;
  promised: number;
  /** Service given so far, in milliseconds by weight. */
  virtualMs: number;
  /** Difference between actual and estimated service that is still to be charged, in milliseconds. */
  debtMs: number;
}

/** One urgency at one service. */
export interface UrgencyClass {
  readonly urgency: Urgency;
  readonly weight: number;
  readonly leaves: Map<string, Leaf>;
  waiting: number;
  promised: number;
  /** Sums of the weights of the leaves that have something waiting, or waiting or promised. */
  waitingWeight: number;
  backlogWeight: number;
  virtualMs: number;
  /** Virtual time of the leaf that was served last. */
  leafVirtualMs: number;
}

/** The classes of one service, with the counts over all of them. */
export interface ShareTree {
  readonly classes: Readonly<Record<Urgency, UrgencyClass>>;
  readonly all: readonly UrgencyClass[];
  waiting: number;
  promised: number;
  virtualMs: number;
}

/** Makes an empty class. */
function makeClass(urgency: Urgency): UrgencyClass {
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

/** Makes the empty tree of a service. */
export function makeShareTree(): ShareTree {
  const all = URGENCIES.map(makeClass);
  const classes = Object.fromEntries(all.map((one) => [one.urgency, one]));
  return {
    classes: classes as Record<Urgency, UrgencyClass>,
    all,
    waiting: 0,
    promised: 0,
    virtualMs: 0,
  };
}

/** Adds a leaf's weight to the sums of its class, or takes it away with a sign of -1. */
function addWeight(leaf: Leaf, sign: 1 | -1): void {
  const { urgencyClass: parent } = leaf;
  if (leaf.waiting > 0) parent.waitingWeight += sign * leaf.weight;
  if (leaf.waiting + leaf.promised > 0) parent.backlogWeight += sign * leaf.weight;
}

/** Gets a team's leaf, made when there is none, with the weight now in force. */
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

/** Adds to one of a leaf's counts and to the sums above it. */
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

/** Sums the weights of the classes that have work, counting the given one in any case. */
function sumClassWeights(
  tree: ShareTree,
  own: UrgencyClass,
  hasWork: (one: UrgencyClass) => boolean,
) {
  return tree.all.reduce((sum, one) => sum + (one === own || hasWork(one) ? one.weight : 0), 0);
}

/** What an estimate counts: those that wait, or also those told to come back. */
export type WaitScope = 'waiting' | 'backlog';

/** Counts what a leaf, a class or a service has in a scope. */
function countWork(one: Leaf | UrgencyClass | ShareTree, scope: WaitScope): number {
  return scope === 'waiting' ? one.waiting : one.waiting + one.promised;
}

/**
 * Estimates the time until a leaf's next request is served behind a number of its own, in milliseconds,
 * at a rate of requests a millisecond. Weighted fair service reaches it at the latest when the leaf's
 * share, the class's share or the whole rate has served what is ahead there.
 */
export function estimateTurnMs(
  tree: ShareTree,
  leaf: Leaf,
  ahead: number,
  scope: WaitScope,
  ratePerMs: number,
): number {
  const { urgencyClass: parent } = leaf;
  const hasWork = (one: UrgencyClass) => countWork(one, scope) > 0;
  const classRate = (ratePerMs * parent.weight) / sumClassWeights(tree, parent, hasWork);
  const counted = scope === 'waiting' ? parent.waitingWeight : parent.backlogWeight;
  const leafSum = counted + (countWork(leaf, scope) > 0 ? 0 : leaf.weight);
  return Math.min(
    (ahead + 1) / (classRate * (leaf.weight / leafSum)),
    (countWork(parent, scope) + 1) / classRate,
    (countWork(tree, scope) + 1) / ratePerMs,
  );
}
