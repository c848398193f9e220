/** Invariants of the model of a small fleet, which tests check after each step. */
import { computeBudget } from '../lib/maintenance/policy.js';
import { countMembers, getPool } from '../lib/pools/fold.js';
import { getFleet, MIN_INSTANCES, type Model } from './fleet-model.js';

/** Finds a violated invariant; undefined when all hold. */
export const findFault = (model: Model): string | undefined => {
  const { pools, maintenance } = getFleet(model);
  const duplicated = [...pools.memberships.keys()].find((id) => {
    const owners = pools.members.filter((ids) => ids.has(id)).size;
    return owners !== (getPool(pools, id) === undefined ? 0 : 1);
  });
  if (duplicated !== undefined) return `${duplicated} is not in exactly one pool`;
  const overBudget = [...pools.members.keys()].find((pool) => {
    const planned = pools.members.get(pool)?.filter((id) => maintenance.permits.has(id)).size ?? 0;
    const budget = computeBudget(0.5, countMembers(pools, pool));
    return planned > budget;
  });
  if (overBudget !== undefined) return `the budget of ${overBudget} is exceeded`;
  if (countMembers(pools, 'a') < MIN_INSTANCES) return 'pool a has too few instances left';
  const routed = model.entries
    .filter(({ leaseEndMs }) => model.nowMs < leaseEndMs)
    .map(({ applied }) => getFleet(model, applied).pools);
  const split = [...pools.memberships.keys()].find((id) => {
    const seen = routed.flatMap((view) => getPool(view, id) ?? []);
    return new Set([...seen, getPool(pools, id)].filter((pool) => pool !== undefined)).size > 1;
  });
  return split === undefined ? undefined : `${split} is routed to as a member of two pools`;
};
