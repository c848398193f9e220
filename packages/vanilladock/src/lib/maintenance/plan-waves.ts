/**
 * Plans maintenance waves. A wave is one data centre; waves overlap, for a pool goes on with its next
 * data centre as soon as it has no instance left to stop in the one before, so that no budget lies
 * idle. Canaries of one wave at a time run ahead of it, taken from the pools that need the most
 * rounds. Nothing is remembered between calls: after an outage or a change of planner the same state
 * gives the same plan, and what is overdue catches up within the budgets.
 */
import {
  listBoards,
  orderDataCentres,
  type WaveCandidate,
  type PoolBoard,
  type WaveInput,
} from './candidates.js';
import type { HoldReason, RefusedInstance, WaveDecision } from './decisions.js';
import { isInLostDomain, listLostDomains } from './losses.js';
import type { Wave, WaveStop } from './waves.js';

/** The wave that takes a data centre's instances now. */
interface WaveChoice {
  readonly name: string;
  readonly wave: Wave | undefined;
  /** Set while the newest wave has stopped itself and no other may begin. */
  readonly stopped: { readonly stop: WaveStop; readonly retryAtMs: number } | undefined;
}

/** Chooses the wave of a data centre: the newest one, or the next after it. */
function chooseWave(input: WaveInput, dataCentre: string): WaveChoice {
  const prefix = `${dataCentre}/`;
  const { waves } = input.fleet.maintenance;
  const newest = waves.findLastEntry((_, name) => name.startsWith(prefix));
  if (newest === undefined) return { name: `${prefix}1`, wave: undefined, stopped: undefined };
  const [name, wave] = newest;
  const next = `${prefix}${Number(name.slice(prefix.length)) + 1}`;
  if (wave.stop !== undefined) {
    const retryAtMs = wave.changedAtMs + input.settings.retryStoppedMs;
    if (input.nowMs < retryAtMs) {
      return { name, wave, stopped: { stop: wave.stop, retryAtMs } };
    }
    return { name: next, wave: undefined, stopped: undefined };
  }
  const isOld = input.nowMs - wave.startedAtMs >= input.settings.waveAgeMs;
  if (isOld) return { name: next, wave: undefined, stopped: undefined };
  return { name, wave, stopped: undefined };
}

/** Says whether enough canaries of a wave have returned. */
function isProven(choice: WaveChoice, canaries: number): boolean {
  return (choice.wave?.canariesReturned ?? 0) >= canaries;
}

/** Decides why a candidate's wave holds it back; undefined when it does not. */
function decideWaveHold(choice: WaveChoice, canaries: number): HoldReason | undefined {
  if (choice.stopped !== undefined) return 'wave-stopped';
  return isProven(choice, canaries) ? undefined : 'canary-pending';
}

/** Finds the instance next in line after the chosen one, and why it waits. */
function findRefused(board: PoolBoard, chosen: WaveCandidate, isFull: boolean) {
  const index = board.candidates.indexOf(chosen);
  const next = board.candidates[index + 1];
  if (next === undefined) return undefined;
  const isLater = next.dataCentre !== chosen.dataCentre;
  const why = isLater ? 'later-data-centre' : 'due-later';
  return { instanceId: next.instanceId, why: isFull ? 'room-for-fewer' : why } as const;
}

/** Makes the decision to give a permit. */
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

/** Plans the canaries of the first wave that lacks them, unless another wave waits for its own. */
function planCanaries(
  input: WaveInput,
  boards: readonly PoolBoard[],
  choices: ReadonlyMap<string, WaveChoice>,
): readonly WaveDecision[] {
  const lostDomains = listLostDomains(input.fleet, input.instances);
  const isTesting = [...choices].some(
    ([dataCentre, { wave }]) => (wave?.canariesOpen ?? 0) > 0 && !lostDomains.has(dataCentre),
  );
  if (isTesting) return [];
  const canaries = Math.max(0, ...boards.map((board) => board.canaries));
  const openBoards = boards.filter(({ hold }) => hold === undefined);
  const decisions = [...choices].map(([dataCentre, choice]) => {
    if (choice.stopped !== undefined || isProven(choice, canaries)) return [];
    const isFit = (candidate: WaveCandidate): boolean => {
      const instance = input.instances.get(candidate.instanceId);
      if (candidate.dataCentre !== dataCentre || instance === undefined) return false;
      return !isInLostDomain(lostDomains, instance);
    };
    return openBoards
      .map((board) => ({ board, candidate: board.candidates.find(isFit) }))
      .flatMap(({ board, candidate }) => (candidate === undefined ? [] : [{ board, candidate }]))
      .slice(0, canaries - (choice.wave?.canariesReturned ?? 0))
      .map(({ board, candidate }) =>
        makePermit(candidate, choice.name, true, findRefused(board, candidate, false)),
      );
  });
  return decisions.find((list) => list.length > 0) ?? [];
}

/** Plans the permits of one pool, or why it gets none. */
function planPool(
  board: PoolBoard,
  choices: ReadonlyMap<string, WaveChoice>,
  canaryIds: ReadonlySet<string>,
): readonly WaveDecision[] {
  const { pool, remaining } = board;
  const makeHold = (reason: HoldReason, next: WaveCandidate | undefined): WaveDecision => {
    const refused = next && { instanceId: next.instanceId, why: reason };
    return { kind: 'hold', pool, remaining, reason, refused };
  };
  const rest = board.candidates.filter(({ instanceId }) => !canaryIds.has(instanceId));
  if (board.hold !== undefined) return [makeHold(board.hold, rest[0])];
  const taken = board.candidates.length - rest.length;
  const judged = rest.flatMap((candidate) => {
    const choice = choices.get(candidate.dataCentre);
    if (choice === undefined) return [];
    return [{ candidate, choice, hold: decideWaveHold(choice, board.canaries) }];
  });
  const chosen = judged.filter(({ hold }) => hold === undefined).slice(0, board.room - taken);
  const permits = chosen.map(({ candidate, choice }, index) => {
    const isFull = index === chosen.length - 1;
    return makePermit(candidate, choice.name, false, findRefused(board, candidate, isFull));
  });
  if (permits.length + taken > 0) return permits;
  const first = judged[0];
  return first?.hold === undefined ? [] : [makeHold(first.hold, first.candidate)];
}

/** Plans the permits to ask for now, and why the other pools wait. */
export function planWaves(input: WaveInput): readonly WaveDecision[] {
  const boards = listBoards(input);
  const order = orderDataCentres(boards.flatMap(({ candidates }) => candidates));
  const choices = new Map(order.map((name) => [name, chooseWave(input, name)]));
  const canaries = planCanaries(input, boards, choices);
  const canaryIds = new Set(
    canaries.map((decision) => (decision.kind === 'permit' ? decision.instanceId : '')),
  );
  const stops = [...choices.values()].flatMap(({ name, stopped }): readonly WaveDecision[] =>
    stopped === undefined ? [] : [{ kind: 'wave-stopped', wave: name, ...stopped }],
  );
  return [...stops, ...canaries, ...boards.flatMap((board) => planPool(board, choices, canaryIds))];
}
