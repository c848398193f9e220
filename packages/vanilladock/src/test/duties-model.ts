/**
 * Model checker for claimants of one duty. A breadth-first search covers, within bounds, every
 * order of reading, deciding, appending, losing an append, pausing between starting and appending
 * work, and advancing time. Claimants run the production decision and the log runs the production
 * fold; the clocks of the claimants drift apart.
 */
import { createHash } from 'node:crypto';
import { decideDuty, getFence, type DutyView } from '../lib/duties/decide.js';
import { createDutyState, foldDuty, isCurrentClaim, type Claim } from '../lib/duties/fold.js';
import type { ClaimRecord } from '../lib/duties/records.js';

/** Bounds of the search, and whether fencing is enabled. */
export interface ModelOptions {
  readonly claimants: number;
  readonly maxTicks: number;
  readonly maxClaims: number;
  readonly maxWork: number;
  readonly leaseMs: number;
  /** Whether work with an outdated fencing token is void. */
  readonly isFenced: boolean;
}

/** Result of a search. */
export interface ModelResult {
  readonly states: number;
  /** Description of the first state that violates an invariant; undefined if there is none. */
  readonly fault: string | undefined;
}

interface Claimant {
  readonly claim: Claim | undefined;
  readonly readCount: number;
  readonly seenAtMs: number;
  readonly sent: readonly {
    readonly id: string;
    readonly atMs: number;
    readonly follows: number;
  }[];
  readonly releasedOffset: number;
  readonly inFlight: ClaimRecord | undefined;
  /** Fencing token of work that was started but not yet appended. */
  readonly pendingFence: number | undefined;
}

type Entry =
  | { readonly kind: 'claim'; readonly record: ClaimRecord }
  | { readonly kind: 'work'; readonly by: number; readonly fence: number };

interface ModelState {
  readonly tick: number;
  readonly log: readonly Entry[];
  readonly claimants: readonly Claimant[];
}

const DUTY = 'duty';
const TICK_MS = 2_000;
/** Limit on visited states; a search beyond it fails. */
const MAX_STATES = 1_500_000;
const CLOCK_DRIFTS = [-0.04, 0.04, 0];

const makeId = (index: number) => `entry-${index}`;
const computeNow = (state: ModelState, index: number) =>
  state.tick * TICK_MS * (1 + (CLOCK_DRIFTS[index] ?? 0));

/** Folds the claim entries of a log. */
const foldClaims = (log: readonly Entry[]) =>
  log.reduce(
    (duties, entry, offset) =>
      entry.kind === 'claim' ? foldDuty(duties, { offset, record: entry.record }) : duties,
    createDutyState(),
  );

const makeView = (state: ModelState, index: number, claimant: Claimant): DutyView => {
  const lastSent = claimant.sent.at(-1);
  const isReadBack = lastSent === undefined || lastSent.id === claimant.claim?.id;
  return {
    duty: DUTY,
    selfId: makeId(index),
    claim: claimant.claim,
    seenAtMs: claimant.seenAtMs,
    sentAtMs: claimant.sent.find(({ id }) => id === claimant.claim?.id)?.atMs,
    pendingAtMs: isReadBack ? undefined : lastSent.atMs,
    releasedOffset: claimant.releasedOffset,
    readableSinceMs: 0,
    liveIds: state.claimants.map((_, otherIndex) => makeId(otherIndex)),
    isStopping: false,
  };
};

const setClaimant = (state: ModelState, index: number, change: Partial<Claimant>): ModelState => ({
  ...state,
  claimants: state.claimants.map((old, other) => (other === index ? { ...old, ...change } : old)),
});

const readLog = (state: ModelState, index: number, claimant: Claimant): ModelState => {
  const claim = foldClaims(state.log).claims.get(DUTY);
  const isNew = claim?.offset !== claimant.claim?.offset;
  const seenAtMs = isNew ? computeNow(state, index) : claimant.seenAtMs;
  return setClaimant(state, index, { claim, seenAtMs, readCount: state.log.length });
};

const sendClaim = (
  state: ModelState,
  index: number,
  claimant: Claimant,
  lease: number,
): readonly ModelState[] => {
  const nowMs = computeNow(state, index);
  const action = decideDuty(makeView(state, index, claimant), nowMs, lease);
  if (action.kind === 'none' || claimant.inFlight !== undefined) return [];
  const leaseMs = action.kind === 'claim' ? action.leaseMs : 0;
  const { follows } = action;
  const id = `${index}-${claimant.sent.length}`;
  const head = { version: 1, id, by: makeId(index), at: 0 } as const;
  const inFlight = { ...head, kind: 'duty.claim', duty: DUTY, follows, leaseMs } as const;
  const sent = [...claimant.sent, { id, atMs: nowMs, follows }];
  const releasedOffset = action.kind === 'release' ? follows : claimant.releasedOffset;
  return [setClaimant(state, index, { inFlight, sent, releasedOffset })];
};

const applyClaim = (state: ModelState, index: number, { inFlight }: Claimant) => {
  if (inFlight === undefined) return [];
  const lost = setClaimant(state, index, { inFlight: undefined });
  return [lost, { ...lost, log: [...state.log, { kind: 'claim', record: inFlight } as const] }];
};

const runWork = (state: ModelState, index: number, claimant: Claimant): readonly ModelState[] => {
  const { pendingFence } = claimant;
  if (pendingFence !== undefined) {
    const done = setClaimant(state, index, { pendingFence: undefined });
    return [{ ...done, log: [...state.log, { kind: 'work', by: index, fence: pendingFence }] }];
  }
  const fence = getFence(makeView(state, index, claimant), computeNow(state, index));
  return fence === undefined ? [] : [setClaimant(state, index, { pendingFence: fence })];
};

const listSuccessors = (state: ModelState, options: ModelOptions): readonly ModelState[] => {
  const work = state.log.filter(({ kind }) => kind === 'work').length;
  const claims = state.claimants.reduce((sum, { sent }) => sum + sent.length, 0);
  const steps = state.claimants.flatMap((claimant, index) => [
    ...(claimant.readCount < state.log.length ? [readLog(state, index, claimant)] : []),
    ...(claims < options.maxClaims ? sendClaim(state, index, claimant, options.leaseMs) : []),
    ...applyClaim(state, index, claimant),
    ...(work < options.maxWork ? runWork(state, index, claimant) : []),
  ]);
  return state.tick < options.maxTicks ? [...steps, { ...state, tick: state.tick + 1 }] : steps;
};

/** Finds work that took effect although its writer did not hold the duty at that offset. */
const findStaleWork = ({ log }: ModelState, isFenced: boolean): string | undefined => {
  const staleOffset = log.findIndex((entry, offset) => {
    if (entry.kind !== 'work') return false;
    const duties = foldClaims(log.slice(0, offset));
    const hasEffect = !isFenced || isCurrentClaim(duties, DUTY, entry.fence);
    return hasEffect && duties.claims.get(DUTY)?.owner !== makeId(entry.by);
  });
  return staleOffset < 0
    ? undefined
    : `work at ${staleOffset} by a claimant that does not hold the duty`;
};

/** Finds two claimants that hold the duty simultaneously according to their own clocks. */
const findTwoHolders = (state: ModelState): string | undefined => {
  const holders = state.claimants.filter(
    (claimant, index) =>
      getFence(makeView(state, index, claimant), computeNow(state, index)) !== undefined,
  );
  return holders.length > 1 ? 'two claimants hold the duty simultaneously' : undefined;
};

/** Hashes a state into a compact key. */
const makeKey = (state: ModelState) =>
  createHash('sha1').update(JSON.stringify(state)).digest('base64');

/** Searches all states within the bounds, stopping at the first fault. */
export function findFault(options: ModelOptions): ModelResult {
  const claimant: Claimant = {
    claim: undefined,
    readCount: 0,
    seenAtMs: 0,
    sent: [],
    releasedOffset: -1,
    inFlight: undefined,
    pendingFence: undefined,
  };
  const initial: ModelState = {
    tick: 0,
    log: [],
    claimants: Array.from({ length: options.claimants }, () => claimant),
  };
  const queue: ModelState[] = [initial];
  const visited = new Set([makeKey(initial)]);
  for (const state of queue) {
    const violation = findStaleWork(state, options.isFenced) ?? findTwoHolders(state);
    if (violation !== undefined) {
      return { states: visited.size, fault: `${violation}: ${JSON.stringify(state)}` };
    }
    listSuccessors(state, options).forEach((successor) => {
      const key = makeKey(successor);
      if (visited.has(key)) return;
      visited.add(key);
      if (visited.size > MAX_STATES) throw new Error('the search exceeded the state limit');
      queue.push(successor);
    });
  }
  return { states: visited.size, fault: undefined };
}
