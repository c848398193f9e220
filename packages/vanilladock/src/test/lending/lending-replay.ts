/**
 * Replays the lending of a fleet whose queues peak by turns, in simulated time. Work is continuous:
 * a worker does one worker-second a second, and work may wait for a while before it is late.
 */
import { createArrivalForecast } from '../../lib/lending/arrival-forecast.js';
import {
  planLending,
  type LendableInstance,
  type PoolDemand,
  type PoolWorker,
} from '../../lib/lending/plan-lending.js';

/** Arrivals of a pool at a time, in workers that they keep busy. */
export type ArrivalCurve = (atMs: number) => number;

export interface ReplayPool {
  readonly name: string;
  readonly workers: number;
  readonly arrivals: ArrivalCurve;
}

export interface ReplayOptions {
  readonly pools: readonly ReplayPool[];
  readonly standbyWorkers: number;
  readonly lengthMs: number;
}

export interface ReplayResult {
  /** Share of the work that began before it was late, by pool. */
  readonly onTimeShares: ReadonlyMap<string, number>;
  /** Seconds that workers spent in pools other than standby, or on their way there. */
  readonly workerSeconds: number;
  readonly moves: number;
}

const STEP_MS = 50;
const TICK_MS = 400;
/** Time from the order of a move until the worker gets tasks. */
const MOVE_MS = 2_200;
const TASK_MS = 1_000;
/** Work that waits for longer is late. */
const SLACK_MS = 1_300;
const CORES = 32;
const MAX_MOVES = 70;
/** Jobs of this much work arrive, in worker-seconds. */
const JOB_WORK = 1.5;
const STANDBY = 'standby';

/** Work that arrived in one step. */
interface Cohort {
  readonly atMs: number;
  waiting: number;
}

interface PoolState {
  readonly pool: ReplayPool;
  readonly forecast: ReturnType<typeof createArrivalForecast>;
  cohorts: Cohort[];
  /** Started work by the time at which it ends. */
  running: { readonly endMs: number; readonly amount: number }[];
  arrived: number;
  onTime: number;
}

interface Machine {
  readonly id: string;
  pool: string;
  readyMs: number;
}

const sumWaiting = (cohorts: readonly Cohort[]) =>
  cohorts.reduce((sum, { waiting }) => sum + waiting, 0);

/** Makes a curve that rises from nothing to a peak and falls again, once in each cycle. */
export const makeTurns =
  (peak: number, turnMs: number, turn: number, turns: number): ArrivalCurve =>
  (atMs) => {
    const cycleMs = turnMs * turns;
    const position = (atMs - turn * turnMs + cycleMs) % cycleMs;
    return position < turnMs ? peak * Math.sin((Math.PI * position) / turnMs) : peak * 0.01;
  };

export function runLendingReplay({ pools, standbyWorkers, lengthMs }: ReplayOptions): ReplayResult {
  const states = pools.map((pool): PoolState => ({
    pool,
    forecast: createArrivalForecast(),
    cohorts: [],
    running: [],
    arrived: 0,
    onTime: 0,
  }));
  const machines = [...pools, { name: STANDBY, workers: standbyWorkers }].flatMap(
    ({ name, workers }) =>
      Array.from({ length: workers }, (_, index): Machine => ({
        id: `${name}-${index}`,
        pool: name,
        readyMs: 0,
      })),
  );
  const surplusSinceMs = new Map<string, number>();
  let workerSeconds = 0;
  let moves = 0;

  const listReady = (pool: string, nowMs: number) =>
    machines.filter((machine) => machine.pool === pool && machine.readyMs <= nowMs);
  const runStep = (state: PoolState, nowMs: number) => {
    const work = (state.pool.arrivals(nowMs) * STEP_MS) / 1_000;
    state.arrived += work;
    state.cohorts.push({ atMs: nowMs, waiting: work });
    state.forecast.add({ coreSeconds: work * CORES, jobs: work / JOB_WORK }, nowMs);
    state.running = state.running.filter(({ endMs }) => endMs > nowMs);
    const used = state.running.reduce((sum, { amount }) => sum + amount, 0);
    let free = Math.max(0, listReady(state.pool.name, nowMs).length - used);
    // Work that is on time goes first, the oldest of it before the newer.
    const isLate = ({ atMs }: Cohort) => nowMs - atMs > SLACK_MS;
    const queue = [...state.cohorts.filter((c) => !isLate(c)), ...state.cohorts.filter(isLate)];
    queue.forEach((cohort) => {
      const started = Math.min(free, cohort.waiting);
      if (started <= 0) return;
      free -= started;
      cohort.waiting -= started;
      state.running.push({ endMs: nowMs + TASK_MS, amount: started });
      if (!isLate(cohort)) state.onTime += started;
    });
    state.cohorts = state.cohorts.filter(({ waiting }) => waiting > 1e-9);
  };
  const makeDemand = (state: PoolState, nowMs: number): PoolDemand => {
    const used = state.running.reduce((sum, { amount }) => sum + amount, 0);
    const ready = listReady(state.pool.name, nowMs);
    const onTime = state.cohorts.filter(({ atMs }) => nowMs - atMs <= SLACK_MS);
    const workers = ready.map(({ id }, index): PoolWorker => ({
      workerId: id,
      lastingTasks: 0,
      batchTasks: index < Math.ceil(used - 1e-9) ? 1 : 0,
    }));
    return {
      pool: state.pool.name,
      arrivalCores: state.forecast.getRate(nowMs),
      expectedCores: state.forecast.getExpectedRate(nowMs),
      runnableCores: (used + sumWaiting(state.cohorts)) * CORES,
      onTimeCores: (used + sumWaiting(onTime)) * CORES,
      lastingCores: 0,
      minWorkers: 0,
      hasPeaked: true,
      hasUnplaced: sumWaiting(state.cohorts) > 1e-9,
      workers,
    };
  };
  const runLending = (nowMs: number) => {
    const instances = machines.map(({ id, pool, readyMs }): LendableInstance => ({
      id,
      pool,
      workerId: id,
      isUp: readyMs <= nowMs,
      cores: CORES,
      isHeld: false,
    }));
    const incoming = new Map<string, number>();
    machines
      .filter(({ readyMs }) => readyMs > nowMs)
      .forEach(({ pool }) => incoming.set(pool, (incoming.get(pool) ?? 0) + 1));
    const plan = planLending({
      demands: new Map(states.map((state) => [state.pool.name, makeDemand(state, nowMs)])),
      instances,
      standbyPool: STANDBY,
      incoming,
      surplusSinceMs,
      nowMs,
      maxMoves: MAX_MOVES,
    });
    plan.moves.forEach(({ instance, to }) => {
      const machine = machines.find(({ id }) => id === instance);
      if (machine === undefined) return;
      machine.pool = to;
      machine.readyMs = nowMs + MOVE_MS;
      moves += 1;
    });
  };
  for (let nowMs = 0; nowMs < lengthMs; nowMs += STEP_MS) {
    states.forEach((state) => runStep(state, nowMs));
    if (nowMs % TICK_MS === 0) runLending(nowMs);
    workerSeconds += (machines.filter(({ pool }) => pool !== STANDBY).length * STEP_MS) / 1_000;
  }
  return {
    onTimeShares: new Map(
      states.map(({ pool, onTime, arrived }) => [pool.name, arrived > 0 ? onTime / arrived : 1]),
    ),
    workerSeconds,
    moves,
  };
}
