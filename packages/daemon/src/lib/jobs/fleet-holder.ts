/** Carries out the fleet duty while this instance holds it. */
import type { Claim } from 'vanilladock/lib/duties/claim-table.js';
import type { DutyClaims } from './duty-claims-types.js';
import {
  FLEET_DUTY,
  startFleetRunner,
  type FleetRunner,
  type FleetSources,
} from './fleet-runner.js';
import type { HandOverMemory } from './hand-over-memory.js';
import type { JobGateway } from './job-gateway.js';

/** Dependencies of the holder. */
export interface FleetHolderOptions extends FleetSources {
  readonly claims: Pick<DutyClaims, 'held' | 'isInForce' | 'dropDuty' | 'queryPredecessor'>;
  /** Gets what the holders tell that have stopped. */
  readonly handOvers: HandOverMemory;
  /** Name of this instance, with which the fleet's orders are fenced. */
  readonly holder: string;
  readonly gateway: JobGateway;
}

/** Runs the duty under each claim of this instance, now and later, and stops it with the claim. */
export function startFleetHolder(options: FleetHolderOptions): void {
  const { claims, handOvers } = options;
  let runner: FleetRunner | undefined;
  const updateRunner = (claim: Claim | undefined) => {
    if (runner?.claim.token === claim?.token) return;
    runner?.stop();
    if (runner !== undefined) handOvers.keep(FLEET_DUTY, runner.getHandOver());
    runner =
      claim &&
      startFleetRunner({
        ...options,
        claim,
        isInForce: () => claims.isInForce(claim),
        queryPredecessor: () => claims.queryPredecessor(claim),
        handleLost: (why) => claims.dropDuty(FLEET_DUTY, why),
      });
  };
  claims.held.subscribe((held) => updateRunner(held.get(FLEET_DUTY)));
}
