/**
 * The control duties of one entry, as the daemon runs them: read the log as far as it is visible,
 * claim unclaimed duties, plan, append, read back, act. The planner pauses, acts on stale lists and
 * occasionally claims a duty that another planner still holds.
 */
import {
  BARRIER_SETTINGS,
  createAcknowledgementObservations,
  decideJoin,
  MAINTENANCE_DUTY,
  MOVES_DUTY,
  observeAcknowledgements,
  type Random,
  type AcknowledgementObservations,
  type WaveDecision,
} from 'vanilladock';
import type { CapacityState } from 'vanilladock/lib/maintenance/capacity.js';
import { createDuties } from './duties.js';
import { createLogClient, type Body } from './log-client.js';
import { createMaintenanceDriver, type MaintenanceSetting } from './maintenance-driver.js';
import type { FakeLog } from './platform.js';
import { MINUTE_MS, pickInteger } from './environment.js';

/** What all planners share: the fleet, the platform, the policies, random numbers and the log. */
export interface PlannerSetting extends MaintenanceSetting {
  readonly log: FakeLog;
}

/** One planner. */
export interface Planner {
  readonly name: string;
  /** Runs one round unless the planner is paused. */
  readonly step: (nowMs: number) => void;
  /** Makes `step` do nothing before `untilMs`. */
  readonly pause: (untilMs: number) => void;
  /** Gets the state by which the entry routes; undefined while its lease doesn't allow routing. */
  readonly getRoutingState: (nowMs: number) => CapacityState | undefined;
  readonly listDecisions: () => readonly WaveDecision[];
}

/** Probability that the holder of the moves duty starts a move in one step while none is open. */
const MOVE_PROBABILITY = 0.002;
const MAX_STALL_MS = 6 * MINUTE_MS;
const MIN_DONOR_SIZE = 5;

/** Releases a random instance to a random pool, with a small probability. */
function pickRelease({ pools }: CapacityState, fence: number, random: Random): readonly Body[] {
  if (random() >= MOVE_PROBABILITY) return [];
  const donors = [...pools.members].filter(([, ids]) => ids.size >= MIN_DONOR_SIZE);
  const [from, ids] = donors[pickInteger(random, donors.length)] ?? ['', undefined];
  const instanceId = ids && [...ids][pickInteger(random, ids.size)];
  const to = [...pools.members.keys()][pickInteger(random, pools.members.size)];
  if (instanceId === undefined || to === undefined) return [];
  return [{ kind: 'pool.release', instanceId, from, to, fence }];
}

/** Creates the moves duty of one planner: it completes the open move or picks a new one. */
function createMoves(random: Random) {
  let observations: AcknowledgementObservations = createAcknowledgementObservations();
  return (state: CapacityState, fence: number, nowMs: number): readonly Body[] => {
    const { pools } = state;
    observations = observeAcknowledgements(observations, pools, nowMs);
    const instanceId = pools.between.first('');
    const membership = pools.memberships.get(instanceId);
    if (membership?.kind !== 'released') return pickRelease(state, fence, random);
    const { offset: releaseOffset, to: pool } = membership;
    const verdict = decideJoin(pools, releaseOffset, observations, nowMs, BARRIER_SETTINGS);
    if (verdict.kind === 'waiting') return [];
    const { lapsed } = verdict;
    return [{ kind: 'pool.join', instanceId, pool, releaseOffset, lapsed, fence }];
  };
}

/** Creates a planner, which is also an entry that routes requests. */
export function createPlanner(name: string, setting: PlannerSetting): Planner {
  const { log, random } = setting;
  const client = createLogClient(name, log, random);
  const duties = createDuties(name, log, random);
  const maintenance = createMaintenanceDriver(setting);
  const planMoves = createMoves(random);
  let pausedUntilMs = 0;
  const plan = (state: CapacityState, nowMs: number): readonly Body[] => {
    const maintenanceFence = duties.getFence(MAINTENANCE_DUTY, state);
    const movesFence = duties.getFence(MOVES_DUTY, state);
    if (maintenanceFence === undefined) maintenance.reset();
    const handleStall = (): void => {
      pausedUntilMs = nowMs + random() * MAX_STALL_MS;
    };
    return [
      ...(maintenanceFence === undefined
        ? []
        : maintenance.run(state, maintenanceFence, nowMs, handleStall)),
      ...(movesFence === undefined ? [] : planMoves(state, movesFence, nowMs)),
      ...duties.listClaims(MAINTENANCE_DUTY, state, nowMs),
      ...duties.listClaims(MOVES_DUTY, state, nowMs),
    ];
  };
  const runStep = (nowMs: number): void => {
    if (nowMs < pausedUntilMs) return;
    const stalledBodies = maintenance.applyStalled(nowMs);
    if (!client.refresh(nowMs)) return;
    client.send([...stalledBodies, ...plan(client.getState(), nowMs)], nowMs);
  };
  return {
    name,
    step: runStep,
    pause: (untilMs) => {
      pausedUntilMs = untilMs;
    },
    getRoutingState: (nowMs) => (client.isRouting(nowMs) ? client.getState() : undefined),
    listDecisions: maintenance.listDecisions,
  };
}
