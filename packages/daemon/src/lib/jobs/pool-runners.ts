/** Runs the planners of the pools whose duties an instance holds. */
import type { HandOverMemory } from './hand-over-memory.js';
import type { DutyClaims } from './duty-claims-types.js';
import { makePoolDuty } from './job-gateway.js';
import { startPoolRunner, type PoolRunner, type PoolSources } from './pool-runner.js';

/** Dependencies of the runners. */
export interface PoolRunnersOptions extends PoolSources {
  readonly claims: DutyClaims;
  readonly listPools: () => readonly string[];
  /** Gets what the planners tell that have stopped. */
  readonly handOvers: HandOverMemory;
}

/** Runners of one instance. */
export interface PoolRunners {
  readonly find: (pool: string) => PoolRunner | undefined;
  /** Lists the runners by pool, as they are now. */
  readonly list: () => readonly (readonly [string, PoolRunner])[];
}

/** Starts a runner for each pool whose duty is held, now and later, and stops it with its claim. */
export function startPoolRunners(options: PoolRunnersOptions): PoolRunners {
  const { claims, listPools, handOvers } = options;
  const runners = new Map<string, PoolRunner>();

  const stopRunner = (pool: string) => {
    const runner = runners.get(pool);
    if (runner === undefined) return;
    runners.delete(pool);
    runner.stop();
    handOvers.keep(makePoolDuty(pool), runner.getHandOver());
  };
  const startRunner = (pool: string) => {
    const duty = makePoolDuty(pool);
    const claim = claims.held.value.get(duty);
    if (claim === undefined || runners.has(pool)) return;
    const runner = startPoolRunner({
      ...options,
      pool,
      claim,
      isInForce: () => claims.isInForce(claim),
      queryPredecessor: () => claims.queryPredecessor(claim),
      handleLost: (why) => {
        stopRunner(pool);
        claims.dropDuty(duty, why);
      },
    });
    runners.set(pool, runner);
  };
  claims.held.subscribe((held) => {
    [...runners].forEach(([pool, runner]) => {
      if (held.get(makePoolDuty(pool))?.token !== runner.claim.token) stopRunner(pool);
    });
    listPools().forEach(startRunner);
  });
  return { find: (pool) => runners.get(pool), list: () => [...runners] };
}
