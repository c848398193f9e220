/** Moves instances between pools and the standby pool as their planners' demand asks. */
import type { FleetInstance } from 'vanilladock/lib/ports/fleet.js';
import {
  planLending,
  type LendingMove,
  type PoolDemand,
} from 'vanilladock/lib/lending/plan-lending.js';
import type { FleetDuty } from './fleet-runner.js';

/** Lends instances. */
export interface Lender {
  readonly run: (
    instances: ReadonlyMap<string, FleetInstance>,
    held: ReadonlySet<string>,
  ) => Promise<void>;
}

/** Part of the orders that the fleet takes; the rest is left to waves and repeats. */
const ORDER_SHARE = 0.9;

const MS_PER_SECOND = 1_000;

/** Creates the lender. */
export function createLender(duty: FleetDuty): Lender {
  const { fleet, config, gateway, log, takeFence, handleLoss, isStopped } = duty;
  const ordersPerTick = (duty.fleetOrdersPerSecond * duty.tickMs) / MS_PER_SECOND;
  const maxMoves = Math.max(1, Math.floor(ordersPerTick * ORDER_SHARE));
  const surplusSinceMs = new Map<string, number>();
  let reachable: ReadonlyMap<string, number> = new Map();
  /** Orders without a known outcome, by instance. */
  const open = new Map<string, LendingMove>();

  const listDemands = async (pools: readonly string[]) => {
    const replies = await Promise.all(
      pools.map((pool) =>
        gateway.answerOnce({ kind: 'demand', pool, reachableCores: reachable.get(pool) ?? 0 }),
      ),
    );
    const demands = replies.flatMap((reply): readonly PoolDemand[] =>
      reply.kind === 'demand' ? [reply.demand] : [],
    );
    return new Map(demands.map((demand) => [demand.pool, demand]));
  };
  const sendMove = async (order: LendingMove) => {
    const fence = takeFence();
    open.set(order.instance, order);
    const outcome = await fleet.moveInstance(order.instance, order.to, fence);
    log.info({ event: 'instance-move', ...order, token: fence.token, outcome });
    if (outcome.kind === 'unknown') return;
    open.delete(order.instance);
    if (outcome.kind === 'rejected' && outcome.why === 'fenced') handleLoss('fleet-fenced');
    const { instance: id, from: pool, workerId } = order;
    if (outcome.kind === 'done') duty.lifeEnds.add({ id, pool, workerId });
  };
  /** Takes an instance out of placement; says whether it is empty now. */
  const drainInstance = async (pool: string, workerId: string): Promise<boolean> => {
    const reply = await gateway.answerOnce({ kind: 'evacuate', pool, workerId });
    return reply.kind === 'content' && reply.lastingTasks + reply.batchTasks === 0;
  };
  const sendMoveWhenEmpty = async (order: LendingMove, standbyPool: string) => {
    const { workerId, from } = order;
    const isOff = from === standbyPool || workerId === undefined;
    if (isOff || (await drainInstance(from, workerId))) await sendMove(order);
  };
  return {
    run: async (instances, held) => {
      const pools = config.value?.pools ?? [];
      const standbyPool = pools.find((pool) => pool.isStandby)?.name;
      if (standbyPool === undefined || isStopped()) return;
      const active = pools.filter((pool) => !pool.isStandby).map((pool) => pool.name);
      const demands = await listDemands(active);
      if (demands.size < active.length || isStopped()) return;
      const incoming = new Map<string, number>();
      const addIncoming = (pool: string) => incoming.set(pool, (incoming.get(pool) ?? 0) + 1);
      instances.forEach((instance) => {
        if (instance.state === 'moving' || instance.state === 'maintenance') {
          addIncoming(instance.pool);
        }
      });
      const again = [...open.values()].filter((order) => instances.has(order.instance));
      const plan = planLending({
        demands,
        instances: [...instances.values()].map((instance) => ({
          ...instance,
          isUp: instance.state === 'up',
          isHeld: held.has(instance.id) || open.has(instance.id),
        })),
        standbyPool,
        incoming,
        surplusSinceMs,
        nowMs: performance.now(),
        maxMoves,
      });
      reachable = plan.reachableCores;
      if (plan.moves.length > 0) {
        log.info({
          event: 'lending-plan',
          moves: plan.moves.length,
          pools: [...demands.values()].map((demand) => ({
            pool: demand.pool,
            workers: demand.workers.length,
            incoming: incoming.get(demand.pool) ?? 0,
            arrivalCores: Math.round(demand.arrivalCores),
            runnableCores: Math.round(demand.runnableCores),
            onTimeCores: Math.round(demand.onTimeCores),
            lastingCores: Math.round(demand.lastingCores),
          })),
        });
      }
      plan.empty.forEach(({ pool, workerId }) => {
        if (workerId !== undefined) void drainInstance(pool, workerId);
      });
      await Promise.all([
        ...again.map(sendMove),
        ...plan.moves.map((order) => sendMoveWhenEmpty(order, standbyPool)),
      ]);
    },
  };
}
