/** Lends instances: moves them between pools and the standby pool by the pools' demand. */
import type { FleetInstance } from 'vanilladock/lib/ports/fleet.js';
import {
  planLending,
  type LendingMove,
  type PoolDemand,
} from 'vanilladock/lib/lending/plan-lending.js';
import type { FleetDuty } from './fleet-runner.js';

/** Lender of one fleet. */
export interface Lender {
  /**
   * Runs one round over the instances, which are by id; those in `held` belong to maintenance waves
   * and are not moved. Pools whose demand is not known neither get nor lend instances. Does nothing
   * without a standby pool.
   */
  readonly run: (
    instances: ReadonlyMap<string, FleetInstance>,
    held: ReadonlySet<string>,
  ) => Promise<void>;
}

/** Share of the fleet's order rate that lending uses; waves and repeated orders get the rest. */
const LENDING_ORDER_SHARE = 0.9;

/**
 * Time from the first order of a move after which it is not repeated any more, so that a worker is
 * not evacuated for good for a move that is never answered.
 */
const OPEN_MOVE_TTL_MS = 5_000;

const MS_PER_SECOND = 1_000;

/** A move whose outcome is not known. */
interface OpenMove {
  readonly move: LendingMove;
  /** Monotonic time of its first order, in milliseconds. */
  readonly sinceMs: number;
}

/** Creates the lender. */
export function createLender(duty: FleetDuty): Lender {
  const { fleet, config, gateway, evacuations, incarnationEnds, log, isStopped, mayOrder } = duty;
  const ordersPerTick = (duty.fleetOrdersPerSecond * duty.tickMs) / MS_PER_SECOND;
  const maxMoves = Math.max(1, Math.floor(ordersPerTick * LENDING_ORDER_SHARE));
  const surplusSinceMs = new Map<string, number>();
  /** Cores that lending can bring each pool to, by pool. */
  let reachableCores: ReadonlyMap<string, number> = new Map();
  /** Pools whose demand was not known in the last round. */
  let missingPools: readonly string[] = [];
  /** By instance. */
  const openMoves = new Map<string, OpenMove>();

  const listDemands = async (pools: readonly string[]) => {
    const replies = await Promise.all(
      pools.map((pool) =>
        gateway.answerOnce({ kind: 'demand', pool, reachableCores: reachableCores.get(pool) ?? 0 }),
      ),
    );
    const demands = replies.flatMap((reply): readonly PoolDemand[] =>
      reply.kind === 'demand' ? [reply.demand] : [],
    );
    return new Map(demands.map((demand) => [demand.pool, demand]));
  };
  /** Logs a change of the pools without a known demand; their surplus starts anew afterwards. */
  const observeMissing = (pools: readonly string[]) => {
    pools.forEach((pool) => surplusSinceMs.delete(pool));
    if (pools.join() === missingPools.join()) return;
    missingPools = pools;
    log.info({ event: 'demand-missing', pools });
  };
  const sendMove = async (move: LendingMove) => {
    const fence = duty.takeFence();
    const sinceMs = openMoves.get(move.instance)?.sinceMs ?? performance.now();
    openMoves.set(move.instance, { move, sinceMs });
    const outcome = await fleet.moveInstance(move.instance, move.to, fence);
    log.info({ event: 'instance-move', ...move, token: fence.token, outcome });
    if (outcome.kind === 'unknown') return;
    openMoves.delete(move.instance);
    if (outcome.kind === 'rejected' && outcome.why === 'fenced') duty.handleLoss('fleet-fenced');
    const { instance: id, from: pool, workerId } = move;
    if (outcome.kind === 'done') incarnationEnds.add({ id, pool, workerId });
  };
  /** Excludes a worker from placement; resolves to whether it has no tasks now. */
  const drainWorker = async (pool: string, workerId: string): Promise<boolean> => {
    const evacuation = await evacuations.renew(pool, workerId);
    if (evacuation === undefined) return false;
    const { lastingTasks, batchTasks } = evacuation.content;
    return lastingTasks + batchTasks === 0;
  };
  const sendMoveWhenEmpty = async (move: LendingMove, standbyPool: string) => {
    const { workerId, from } = move;
    const hasNoTasks = from === standbyPool || workerId === undefined;
    if (!hasNoTasks && !(await drainWorker(from, workerId))) return;
    if (mayOrder()) await sendMove(move);
  };
  /** Forgets the open moves that have taken effect, and those that are not repeated any more. */
  const dropClosedMoves = (instances: ReadonlyMap<string, FleetInstance>) => {
    openMoves.forEach(({ move: { from: pool, workerId }, sinceMs }, id) => {
      const listed = instances.get(id);
      const hasChanged =
        listed !== undefined && (listed.pool !== pool || listed.workerId !== workerId);
      if (!hasChanged && performance.now() - sinceMs <= OPEN_MOVE_TTL_MS) return;
      openMoves.delete(id);
      incarnationEnds.add({ id, pool, workerId });
    });
  };
  return {
    run: async (instances, held) => {
      const pools = config.value?.pools ?? [];
      const standbyPool = pools.find((pool) => pool.isStandby)?.name;
      if (standbyPool === undefined || isStopped()) return;
      const active = pools.filter((pool) => !pool.isStandby).map((pool) => pool.name);
      const demands = await listDemands(active);
      observeMissing(active.filter((pool) => !demands.has(pool)));
      if (isStopped()) return;
      const incoming = new Map<string, number>();
      const addIncoming = (pool: string) => incoming.set(pool, (incoming.get(pool) ?? 0) + 1);
      instances.forEach((instance) => {
        if (instance.state === 'moving' || instance.state === 'maintenance') {
          addIncoming(instance.pool);
        }
      });
      dropClosedMoves(instances);
      const repeatedMoves = [...openMoves.values()]
        .map(({ move }) => move)
        .filter(({ instance }) => instances.has(instance));
      const plan = planLending({
        demands,
        instances: [...instances.values()].map((instance) => ({
          ...instance,
          isUp: instance.state === 'up',
          isHeld: held.has(instance.id) || openMoves.has(instance.id),
        })),
        standbyPool,
        incoming,
        surplusSinceMs,
        nowMs: performance.now(),
        maxMoves,
      });
      reachableCores = plan.reachableCores;
      if (!mayOrder()) return;
      if (plan.moves.length > 0) {
        log.info({
          event: 'lending-plan',
          moves: plan.moves.length,
          pools: [...demands.values()].map((demand) => ({
            pool: demand.pool,
            workers: demand.workers.length,
            incoming: incoming.get(demand.pool) ?? 0,
            arrivalCores: Math.round(demand.arrivalCores),
            expectedCores: Math.round(demand.expectedCores),
            runnableCores: Math.round(demand.runnableCores),
            onTimeCores: Math.round(demand.onTimeCores),
            lastingCores: Math.round(demand.lastingCores),
          })),
        });
      }
      plan.drain.forEach(({ pool, workerId }) => {
        if (workerId !== undefined) void drainWorker(pool, workerId);
      });
      await Promise.all(
        [...repeatedMoves, ...plan.moves].map((move) => sendMoveWhenEmpty(move, standbyPool)),
      );
    },
  };
}
