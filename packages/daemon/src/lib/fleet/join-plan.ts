/**
 * Plans which instances join or leave the fleet's pools: a listed instance that no pool knows joins the
 * pool that its attribute `pool` or its service names, and a released one joins its new pool once the
 * barrier is passed. An instance that has been missing for long is removed.
 */
import {
  BARRIER_SETTINGS,
  decideJoin,
  type Config,
  type Instance,
  type JoinRecord,
  type PoolState,
  type Sightings,
} from 'vanilladock';
import { makeHead } from './record-head.js';

/** What joins are planned from. */
export interface JoinInput {
  readonly entryId: string;
  /** Fencing token of the claim on moves. */
  readonly fence: number;
  readonly pools: PoolState;
  readonly config: Config;
  readonly instances: ReadonlyMap<string, Instance>;
  readonly sightings: Sightings;
  /** Monotonic, in milliseconds. */
  readonly nowMs: number;
}

const JOINS_PER_ROUND = 1_000;
const POOL_ATTRIBUTE = 'pool';

/** Finds the pool that an instance belongs to at first. */
export function findFirstPool(instance: Instance, config: Config): string | undefined {
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

/** Plans the joins of instances that no pool knows. */
function planFirstJoins(input: JoinInput): readonly JoinRecord[] {
  return [...input.instances.values()].flatMap((instance) => {
    const { id: instanceId, role, state } = instance;
    if (role === 'entry' || state !== 'live') return [];
    if (input.pools.memberships.has(instanceId)) return [];
    const pool = findFirstPool(instance, input.config);
    if (pool === undefined) return [];
    return [makeJoin(input, { instanceId, pool, releaseOffset: -1 })];
  });
}

/** Plans the joins that complete moves, as far as the barrier lets them. */
function planSecondJoins(input: JoinInput): readonly JoinRecord[] {
  const { pools, sightings, nowMs } = input;
  return [...pools.between].flatMap((instanceId) => {
    const membership = pools.memberships.get(instanceId);
    if (membership?.kind !== 'released') return [];
    const { offset: releaseOffset, to: pool } = membership;
    const verdict = decideJoin(pools, releaseOffset, sightings, nowMs, BARRIER_SETTINGS);
    if (verdict.kind === 'waiting') return [];
    return [makeJoin(input, { instanceId, pool, releaseOffset, lapsed: verdict.lapsed })];
  });
}

/** Plans the joins to write now. */
export function planJoins(input: JoinInput): readonly JoinRecord[] {
  return [...planSecondJoins(input), ...planFirstJoins(input)].slice(0, JOINS_PER_ROUND);
}
