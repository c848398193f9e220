/**
 * A day under the decision core: loans are planned each second from the demand of the previous
 * second; moves are planned every ten seconds and carried out by release, barrier and join on a
 * folded log.
 */
import {
  BARRIER_SETTINGS,
  computeJainIndex,
  createDemandState,
  createMoveMemory,
  createAcknowledgementObservations,
  decideJoin,
  MOVES_DUTY,
  MOVE_SETTINGS,
  observeDemand,
  planLoans,
  planMoves,
  sumLoans,
  type Instance,
  type Loan,
  type MoveWeights,
  type PolicyOf,
} from 'vanilladock';
import {
  createCapacityState,
  foldCapacity,
  type CapacityState,
} from 'vanilladock/lib/maintenance/capacity.js';
import type { Body } from '../wave/log-client.js';
import { addWork, computeKept, createQueue, serveWork } from './queue.js';
import { DAY_S, type Trace } from './trace.js';

/** One fleet of the measurement. */
export interface FleetCase {
  readonly name: string;
  readonly weights: MoveWeights;
  /** Mean demand of each service, in instances' worth of work. */
  readonly means: readonly number[];
  /** Initial sizes of the services' pools, and of the spare pool. */
  readonly sizes: readonly number[];
  readonly spareSize: number;
  /** Demand on the spare pool itself, in instances' worth of work. */
  readonly spareDemand: number;
}

/** Results of a day under the core. */
export interface CoreDay {
  /** Number of moves of instances between pools. */
  readonly moves: number;
  /** Share of the requested work that was served. */
  readonly kept: number;
  /** Jain's fairness index over the services' served shares. */
  readonly jain: number;
  /** Share of the served work that was done on loan. */
  readonly lentShare: number;
}

const SPARE = 'spare';
const ENTRIES = 8;
const PLAN_INTERVAL_S = 10;
const ACKNOWLEDGEMENT_LAG_S = 3;
const DEMAND_AVERAGE_MS = 30 * 60_000;
const LENT_WORK_SHARE = 1 - MOVE_SETTINGS.loanLossShare;
const DATA_CENTRES = ['hobart', 'huonville', 'kingston'] as const;

const getPolicy: PolicyOf = () => ({
  maxUnavailableShare: 0.25,
  maintenanceIntervalDays: 28,
  maintenanceFrozen: true,
  maintenanceHours: [0, 24],
  drainLimitMs: 600_000,
  rebootLimitMs: 900_000,
  canaries: 1,
});

/** Creates a log that folds every record when it is appended. */
function createLog() {
  let state: CapacityState = createCapacityState();
  let offset = -1;
  const append = (body: Body): number => {
    offset += 1;
    const envelope = { version: 1, id: `r${offset}`, by: 'entry-0', at: 0 } as const;
    state = foldCapacity(state, { offset, record: { ...envelope, ...body } }, getPolicy);
    return offset;
  };
  return { append, getState: () => state };
}

/** Creates a fleet's instances and appends their joins to a new log. */
function createFleet(fleetCase: FleetCase) {
  const log = createLog();
  const fence = log.append({ kind: 'duty.claim', duty: MOVES_DUTY, follows: -1, leaseMs: 1 });
  const names = fleetCase.sizes.map((_, index) => `service-${index}`);
  const instances = new Map<string, Instance>();
  [...fleetCase.sizes, fleetCase.spareSize].forEach((size, index) => {
    const pool = names[index] ?? SPARE;
    for (let number = 0; number < size; number += 1) {
      const id = `${pool}-${number}`;
      const dataCentre = DATA_CENTRES[number % DATA_CENTRES.length] ?? DATA_CENTRES[0];
      const location = { region: 'south', dataCentre, rack: `r${number >> 2}` };
      const address = `10.0.${index}.${number}:9000`;
      instances.set(id, { id, role: 'upstream', address, location, state: 'live', attributes: {} });
      log.append({ kind: 'pool.join', instanceId: id, pool, releaseOffset: -1, fence });
    }
  });
  return { log, fence, names, instances };
}

/** Runs one day of a fleet's demand. */
export function runCoreDay(fleetCase: FleetCase, trace: Trace): CoreDay {
  const { log, fence, names, instances } = createFleet(fleetCase);
  const queues = names.map(createQueue);
  const appendAcknowledgements = (): void => {
    const appliedOffset = log.append({
      kind: 'pool.acknowledgement',
      entryId: 'entry-0',
      appliedOffset: 0,
    });
    Array.from({ length: ENTRIES }, (_, index) =>
      log.append({ kind: 'pool.acknowledgement', entryId: `entry-${index}`, appliedOffset }),
    );
  };
  appendAcknowledgements();
  let demand = createDemandState();
  let memory = createMoveMemory();
  let moves = 0;
  const counts = { lent: 0 };
  let loans: readonly Loan[] = [];
  let release: { readonly offset: number; readonly second: number } | undefined;
  const countSize = (pool: string): number => log.getState().pools.members.get(pool)?.size ?? 0;
  const runPlanner = (second: number): void => {
    const input = {
      fleet: log.getState(),
      instances,
      demand,
      weights: fleetCase.weights,
      policyOf: getPolicy,
      spare: SPARE,
      nowMs: second * 1000,
      atMs: second * 1000,
      settings: MOVE_SETTINGS,
    };
    const plan = planMoves(input, memory);
    memory = plan.memory;
    if (plan.decision.kind !== 'move') return;
    const { instanceId, from, to } = plan.decision;
    release = { offset: log.append({ kind: 'pool.release', instanceId, from, to, fence }), second };
    moves += 1;
  };
  const runBarrier = (second: number): void => {
    if (release === undefined || second < release.second + ACKNOWLEDGEMENT_LAG_S) return;
    appendAcknowledgements();
    const { pools } = log.getState();
    const [instanceId = ''] = pools.between;
    const membership = pools.memberships.get(instanceId);
    const verdict = decideJoin(
      pools,
      release.offset,
      createAcknowledgementObservations(),
      0,
      BARRIER_SETTINGS,
    );
    if (verdict.kind !== 'ready' || membership?.kind !== 'released') return;
    const { to: pool, offset: releaseOffset } = membership;
    log.append({ kind: 'pool.join', instanceId, pool, releaseOffset, fence });
    release = undefined;
  };
  for (let second = 0; second < DAY_S; second += 1) {
    const sizes = names.map(countSize);
    const idle = new Map<string, number>([[SPARE, countSize(SPARE) - fleetCase.spareDemand]]);
    const readings = names.map((pool, index) => {
      const queue = queues[index] ?? createQueue();
      addWork(queue, trace[index]?.[second] ?? 0, second);
      const size = sizes[index] ?? 0;
      const reading = { pool, demand: queue.backlog, size };
      idle.set(pool, size - serveWork(queue, size));
      return reading;
    });
    const granted = sumLoans(loans, 'from');
    loans.forEach(({ from, to, amount }) => {
      const planned = granted.get(from) ?? 0;
      const share = planned === 0 ? 0 : Math.min(1, Math.max(0, idle.get(from) ?? 0) / planned);
      const queue = queues[names.indexOf(to)] ?? createQueue();
      counts.lent += serveWork(queue, amount * share * LENT_WORK_SHARE);
    });
    const spare = { pool: SPARE, demand: fleetCase.spareDemand, size: countSize(SPARE) };
    const allReadings = [...readings, spare].map((reading) => {
      return { ...reading, lent: granted.get(reading.pool) ?? 0 };
    });
    demand = observeDemand(demand, allReadings, second * 1000, DEMAND_AVERAGE_MS);
    loans = planLoans(
      allReadings.map((reading) => ({ ...reading, isSpare: reading.pool === SPARE })),
    );
    if (second % PLAN_INTERVAL_S === 0) runPlanner(second);
    runBarrier(second);
  }
  const served = queues.reduce((sum, queue) => sum + queue.served, 0);
  return {
    moves,
    kept: computeKept(queues),
    jain: computeJainIndex(queues.map((queue) => queue.served / queue.asked)),
    lentShare: counts.lent / served,
  };
}
