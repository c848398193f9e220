/**
 * Plans maintenance waves. A wave covers one data centre. Waves overlap: a pool continues with its
 * next data centre as soon as it has no instance left to stop in the previous one, so that no
 * budget stays unused. A wave starts with canaries from the pools that need the most rounds; only
 * one wave at a time runs canaries. The planner keeps no state between calls: after an outage or a
 * change of planner the same state gives the same plan, and overdue instances are caught up within
 * the budgets.
 */
import {
  listDuePools,
  orderDataCentres,
  type WaveCandidate,
  type DuePool,
  type WaveInput,
} from './candidates.js';
import type { HoldReason, RefusedInstance, WaveDecision } from './decisions.js';
import { isInLostDomain, listLostDomains } from './losses.js';
import type { Wave, WaveStop } from './waves.js';

/** The wave that a data centre's instances join now. */
interface WaveChoice {
  readonly name: string;
  readonly wave: Wave | undefined;
  /** Set while the newest wave is stopped and the next one may not begin yet. */
  readonly stopped: { readonly stop: WaveStop; readonly retryAtMs: number } | undefined;
}

/** Chooses the wave of a data centre: the newest one, or a new one after it. */
function chooseWave(input: WaveInput, dataCentre: string): WaveChoice {
  const prefix = `${dataCentre}/`;
  const { waves } = input.fleet.maintenance;
  const newest = waves.findLastEntry((_, name) => name.startsWith(prefix));
  if (newest === undefined) return { name: `${prefix}1`, wave: undefined, stopped: undefined };
  const [name, wave] = newest;
  const nextName = `${prefix}${Number(name.slice(prefix.length)) + 1}`;
  if (wave.stop !== undefined) {
    const retryAtMs = wave.changedAtMs + input.settings.retryStoppedMs;
    if (input.nowMs < retryAtMs) {
      return { name, wave, stopped: { stop: wave.stop, retryAtMs } };
    }
    return { name: nextName, wave: undefined, stopped: undefined };
  }
  const isOld = input.nowMs - wave.startedAtMs >= input.settings.waveAgeMs;
  if (isOld) return { name: nextName, wave: undefined, stopped: undefined };
  return { name, wave, stopped: undefined };
}

/** Says whether enough canaries of a wave have returned for the other instances to follow. */
function hasPassedCanaries(choice: WaveChoice, canaries: number): boolean {
  return (choice.wave?.canariesReturned ?? 0) >= canaries;
}

/** Decides why a wave grants no permit beyond canaries; undefined when it does. */
function decideWaveHold(choice: WaveChoice, canaries: number): HoldReason | undefined {
  if (choice.stopped !== undefined) return 'wave-stopped';
  return hasPassedCanaries(choice, canaries) ? undefined : 'canary-pending';
}

/** Finds the next candidate after the chosen one, and why it has to wait. */
function findRefused(duePool: DuePool, chosen: WaveCandidate, isFull: boolean) {
  const index = duePool.candidates.indexOf(chosen);
  const nextCandidate = duePool.candidates[index + 1];
  if (nextCandidate === undefined) return undefined;
  const isLater = nextCandidate.dataCentre !== chosen.dataCentre;
  const why = isLater ? 'later-data-centre' : 'due-later';
  return { instanceId: nextCandidate.instanceId, why: isFull ? 'room-for-fewer' : why } as const;
}

/** Makes the decision to grant a permit. */
function makePermit(
  candidate: WaveCandidate,
  wave: string,
  isCanary: boolean,
  refused: RefusedInstance | undefined,
): WaveDecision {
  const { instanceId, pool, isOverdue } = candidate;
  const due = isOverdue ? 'overdue' : 'due';
  const reason = isCanary ? 'canary' : due;
  return { kind: 'permit', instanceId, pool: pool, wave, isCanary, reason, refused };
}

/** Plans the canaries of the first wave that needs them, unless some wave has open canaries. */
function planCanaries(
  input: WaveInput,
  duePools: readonly DuePool[],
  choices: ReadonlyMap<string, WaveChoice>,
): readonly WaveDecision[] {
  const lostDomains = listLostDomains(input.fleet, input.instances);
  const isCanaryRunning = [...choices].some(
    ([dataCentre, { wave }]) => (wave?.canariesOpen ?? 0) > 0 && !lostDomains.has(dataCentre),
  );
  if (isCanaryRunning) return [];
  const canaries = Math.max(0, ...duePools.map((duePool) => duePool.canaries));
  const openPools = duePools.filter(({ hold }) => hold === undefined);
  const decisions = [...choices].map(([dataCentre, choice]) => {
    if (choice.stopped !== undefined || hasPassedCanaries(choice, canaries)) return [];
    const isEligible = (candidate: WaveCandidate): boolean => {
      const instance = input.instances.get(candidate.instanceId);
      if (candidate.dataCentre !== dataCentre || instance === undefined) return false;
      return !isInLostDomain(lostDomains, instance);
    };
    return openPools
      .map((due) => ({ due, candidate: due.candidates.find(isEligible) }))
      .flatMap(({ due, candidate }) => (candidate === undefined ? [] : [{ due, candidate }]))
      .slice(0, canaries - (choice.wave?.canariesReturned ?? 0))
      .map(({ due, candidate }) =>
        makePermit(candidate, choice.name, true, findRefused(due, candidate, false)),
      );
  });
  return decisions.find((list) => list.length > 0) ?? [];
}

/** Plans the permits of one pool, or decides why it gets none. */
function planPool(
  duePool: DuePool,
  choices: ReadonlyMap<string, WaveChoice>,
  canaryIds: ReadonlySet<string>,
): readonly WaveDecision[] {
  const { pool, remaining } = duePool;
  const makeHold = (reason: HoldReason, nextCandidate: WaveCandidate | undefined): WaveDecision => {
    const refused = nextCandidate && { instanceId: nextCandidate.instanceId, why: reason };
    return { kind: 'hold', pool, remaining, reason, refused };
  };
  const rest = duePool.candidates.filter(({ instanceId }) => !canaryIds.has(instanceId));
  if (duePool.hold !== undefined) return [makeHold(duePool.hold, rest[0])];
  const canaryCount = duePool.candidates.length - rest.length;
  const evaluated = rest.flatMap((candidate) => {
    const choice = choices.get(candidate.dataCentre);
    if (choice === undefined) return [];
    return [{ candidate, choice, hold: decideWaveHold(choice, duePool.canaries) }];
  });
  const chosen = evaluated
    .filter(({ hold }) => hold === undefined)
    .slice(0, duePool.freeBudget - canaryCount);
  const permits = chosen.map(({ candidate, choice }, index) => {
    const isFull = index === chosen.length - 1;
    return makePermit(candidate, choice.name, false, findRefused(duePool, candidate, isFull));
  });
  if (permits.length + canaryCount > 0) return permits;
  const first = evaluated[0];
  return first?.hold === undefined ? [] : [makeHold(first.hold, first.candidate)];
}

/**
 * Plans the permits to request now, and decides why the other pools wait. Stopped waves come first,
 * then canaries, then each due pool's other permits or its hold; empty when no instance is due.
 */
export function planWaves(input: WaveInput): readonly WaveDecision[] {
  const duePools = listDuePools(input);
  const order = orderDataCentres(duePools.flatMap(({ candidates }) => candidates));
  const choices = new Map(order.map((name) => [name, chooseWave(input, name)]));
  const canaries = planCanaries(input, duePools, choices);
  const canaryIds = new Set(
    canaries.map((decision) => (decision.kind === 'permit' ? decision.instanceId : '')),
  );
  const stops = [...choices.values()].flatMap(({ name, stopped }): readonly WaveDecision[] =>
    stopped === undefined ? [] : [{ kind: 'wave-stopped', wave: name, ...stopped }],
  );
  return [
    ...stops,
    ...canaries,
    ...duePools.flatMap((duePool) => planPool(duePool, choices, canaryIds)),
  ];
}
