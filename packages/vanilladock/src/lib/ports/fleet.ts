/** Ports to the operators' configuration of a fleet, to its instances, and to the placement advisor. */
import type { JobPolicy } from '../jobs/spec.js';

/** A queue of jobs at a host and path, and the pool that runs them. */
export interface RouteConfig {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly pool: string;
  /** How long a caller waits for an answer. */
  readonly timeoutMs: number;
  readonly policy: JobPolicy;
}

/** A pool of workers; the instances of a standby pool are off. */
export interface PoolConfig {
  readonly name: string;
  readonly isStandby: boolean;
}

/** Limits on callers' requests. */
export interface RequestLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** The operators' configuration in force. */
export interface FleetConfig {
  readonly version: number;
  readonly routes: readonly RouteConfig[];
  readonly pools: readonly PoolConfig[];
  readonly limits: RequestLimits;
}

/** A maintenance wave as ordered by the operators. */
export interface WaveOrder {
  readonly wave: number;
  readonly instances: readonly string[];
  readonly durationMs: number;
  readonly maxConcurrent: number;
}

/** An instance of the fleet: hardware that carries one life of a worker at a time. */
export interface FleetInstance {
  readonly id: string;
  readonly pool: string;
  readonly state: 'up' | 'moving' | 'maintenance' | 'down';
  readonly dataCentre: string;
  readonly labels: readonly string[];
  readonly cores: number;
  /** Id of its worker; undefined while there is none. */
  readonly workerId: string | undefined;
}

/** Who orders, with a token that rises for each instance. */
export interface FleetFence {
  readonly holder: string;
  readonly token: number;
}

/** Outcome of an order for an instance; an `unknown` one may take effect later. */
export type FleetOutcome =
  | { readonly kind: 'done' }
  | { readonly kind: 'rejected'; readonly why: 'fenced' | 'busy' | 'not-in-wave' | 'malformed' }
  | { readonly kind: 'refused'; readonly reason: string }
  | { readonly kind: 'unknown' };

/** Orders and lists of instances. */
export interface Fleet {
  /** Lists all instances; undefined when the list cannot be had. */
  readonly listInstances: () => Promise<readonly FleetInstance[] | undefined>;
  readonly moveInstance: (
    instance: string,
    pool: string,
    fence: FleetFence,
  ) => Promise<FleetOutcome>;
  readonly maintainInstance: (
    instance: string,
    wave: number,
    fence: FleetFence,
  ) => Promise<FleetOutcome>;
}

/** Answer of the advisor. */
export type AdviceOutcome =
  | {
      readonly kind: 'advice';
      readonly tickets: ReadonlyMap<string, string>;
      readonly validMs: number;
    }
  | { readonly kind: 'unavailable'; readonly reason: string };

/** Says which workers may run a step. */
export interface Advisor {
  readonly advise: (stepKey: string, workerIds: readonly string[]) => Promise<AdviceOutcome>;
}
