/**
 * Plans which instances join the fleet's pools: a listed instance without a membership joins the
 * pool that its attribute `pool` or its service names, and a released one joins its new pool once
 * the move has passed the barrier.
 */
import {
  BARRIER_SETTINGS,
  decideJoin,
  type Config,
  type Instance,
  type JoinRecord,
  type PoolState,
  type AcknowledgementObservations,
} from 'vanilladock';
import { makeHead } from './record-head.js';

/** Input of the join planner. */
export interface JoinInput {
  readonly entryId: string;
  /** Fencing token of the claim on moves. */
  readonly fence: number;
  readonly pools: PoolState;
  readonly config: Config;
  /** Instances of the newest list, by id. */
  readonly instances: ReadonlyMap<string, Instance>;
  /** The newest acknowledgement of each entry and when this entry first read it. */
  readonly sightings: AcknowledgementObservations;
  /** Monotonic time in milliseconds. */
  readonly nowMs: number;
}

const MAX_JOINS_PER_ROUND = 1_000;
const POOL_ATTRIBUTE = 'pool';

/**
 * Finds the pool that an instance without a membership joins: the one that its attribute names,
 * else that of its service. Returns undefined when the configuration has no such pool.
 */
export function findInitialPool(instance: Instance, config: Config): string | undefined {
  const named = instance.attributes[POOL_ATTRIBUTE];
  if (named !== undefined) return config.pools.find(({ name }) => name === named)?.name;
  return config.services.find(({ name }) => name === instance.service)?.pool;
}

/** Makes a join record. */
function makeJoin(
  input: JoinInput,
  join: Pick<JoinRecord, 'instanceId' | 'pool' | 'releaseOffset' | 'lapsed'>,
): JoinRecord {
  return { ...makeHead(input.entryId), kind: 'pool.join', fence: input.fence, ...join };
}

/** Plans the joins of live instances that have no membership yet. */
function planInitialJoins(input: JoinInput): readonly JoinRecord[] {
  return [...input.instances.values()].flatMap((instance) => {
    const { id: instanceId, role, state } = instance;
    if (role === 'entry' || state !== 'live') return [];
    if (input.pools.memberships.has(instanceId)) return [];
    const pool = findInitialPool(instance, input.config);
    if (pool === undefined) return [];
    return [makeJoin(input, { instanceId, pool, releaseOffset: -1 })];
  });
}

/** Plans the joins that complete the moves that have passed the barrier. */
function planMoveJoins(input: JoinInput): readonly JoinRecord[] {
  const { pools, sightings: observations, nowMs } = input;
  return [...pools.between].flatMap((instanceId) => {
    const membership = pools.memberships.get(instanceId);
    if (membership?.kind !== 'released') return [];
    const { offset: releaseOffset, to: pool } = membership;
    const verdict = decideJoin(pools, releaseOffset, observations, nowMs, BARRIER_SETTINGS);
    if (verdict.kind === 'waiting') return [];
    return [makeJoin(input, { instanceId, pool, releaseOffset, lapsed: verdict.lapsed })];
  });
}

/**
 * Plans the joins to append in this round, at most `MAX_JOINS_PER_ROUND`, with completed moves
 * first. Joins beyond the limit are planned again in later rounds.
 */
export function planJoins(input: JoinInput): readonly JoinRecord[] {
  return [...planMoveJoins(input), ...planInitialJoins(input)].slice(0, MAX_JOINS_PER_ROUND);
}
