/** Ports to the configuration of a fleet, to its instances, and to the placement advisor. */
import type { JobPolicy } from '../jobs/spec.js';
import type { TeamDirectory } from '../teams/team-directory.js';

/** A queue of jobs at a host and path, and the pool that runs them. */
export interface RouteConfig {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly pool: string;
  /** Time limit of a caller's request, in milliseconds. */
  readonly timeoutMs: number;
  readonly policy: JobPolicy;
  /** Whether calls need no key; absent counts as false. */
  readonly isPublic?: boolean;
}

/** A pool of workers; the instances of a standby pool are switched off. */
export interface PoolConfig {
  readonly name: string;
  readonly isStandby: boolean;
}

/** Limits on the requests of callers. */
export interface RequestLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** The configuration in force, as published by the operators. */
export interface FleetConfig {
  readonly version: number;
  readonly routes: readonly RouteConfig[];
  readonly pools: readonly PoolConfig[];
  readonly limits: RequestLimits;
  /** Teams whose keys calls have to carry; undefined if no call needs a key. */
  readonly teams?: TeamDirectory | undefined;
}

/** A maintenance wave ordered by the operators. */
export interface WaveOrder {
  readonly wave: number;
  /** Instance ids; those that the fleet does not list are skipped. */
  readonly instances: readonly string[];
  readonly durationMs: number;
  /** Most of the wave's instances that may be down at once. */
  readonly maxConcurrent: number;
}

/** An instance of the fleet: hardware that runs one incarnation of a worker at a time. */
export interface FleetInstance {
  readonly id: string;
  readonly pool: string;
  readonly state: 'up' | 'moving' | 'maintenance' | 'down';
  readonly dataCentre: string;
  readonly labels: readonly string[];
  readonly cores: number;
  /** Id of its worker; undefined while the instance has none. */
  readonly workerId: string | undefined;
}

/** The holder that issues orders, with its fencing token, which increases for each instance. */
export interface FleetFence {
  readonly holder: string;
  readonly token: number;
}

/**
 * Outcome of an order for an instance; after `unknown` the order may take effect later. `fenced`:
 * the token is superseded. `busy` and `refused`: the order may be repeated later.
 */
export type FleetOutcome =
  | { readonly kind: 'done' }
  | { readonly kind: 'rejected'; readonly why: 'fenced' | 'busy' | 'not-in-wave' | 'malformed' }
  | { readonly kind: 'refused'; readonly reason: string }
  | { readonly kind: 'unknown' };

/** The platform's list of instances, and orders for them. */
export interface Fleet {
  /** Lists all instances; resolves to undefined when the list is unavailable. */
  readonly listInstances: () => Promise<readonly FleetInstance[] | undefined>;
  readonly moveInstance: (
    instance: string,
    pool: string,
    fence: FleetFence,
  ) => Promise<FleetOutcome>;
  /** Takes an instance down for maintenance in a wave. */
  readonly maintainInstance: (
    instance: string,
    wave: number,
    fence: FleetFence,
  ) => Promise<FleetOutcome>;
}

/** Outcome of a query to the placement advisor. */
export type AdviceOutcome =
  | {
      readonly kind: 'advice';
      /** Tickets by worker id; a worker without one may not run the step. */
      readonly tickets: ReadonlyMap<string, string>;
      /** Time for which the tickets are valid after the answer was received. */
      readonly validMs: number;
    }
  | { readonly kind: 'unavailable'; readonly reason: string };

/** The placement advisor, which issues tickets for the workers that may run a step. */
export interface Advisor {
  readonly advise: (stepKey: string, workerIds: readonly string[]) => Promise<AdviceOutcome>;
}
