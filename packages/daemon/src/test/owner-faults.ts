/**
 * Faults of the owners of one pool, in a simulation of whole instances, and what they lead to. A
 * series names instances by index, or as the pool's owner at the time.
 */
import type { LogFields } from '../lib/json-log.js';
import type { PeerWay, StoreWay } from './instance-links.js';
import { createInstanceSimulation, type InstanceSimulation } from './instance-simulation.js';
import { waitFor } from './memory-store.js';
import { createMovingClock } from './moving-clock.js';

export const OWNED_POOL = 'stalls';

/**
 * An instance: the pool's owner, the one that was last cut off or frozen, the one whose claim was
 * last stored without an answer, or by its index.
 */
export type Who = number | 'owner' | 'marked' | 'claimant';

export type OwnerFault =
  | { readonly kind: 'none' }
  | { readonly kind: 'stop' | 'kill'; readonly who: Who }
  /** The next claim on the pool is stored, and its sender gets no answers of the store. */
  | { readonly kind: 'lose-claim'; readonly afterMs: number }
  /** Loads of the pool's state take so much longer from now on. */
  | { readonly kind: 'slow-loads'; readonly loadMs: number }
  /** An instance is cut off from the store and its peers, in one way or both. */
  | {
      readonly kind: 'cut';
      readonly who: Who;
      readonly store: StoreWay;
      readonly peers: PeerWay;
      readonly afterMs: number;
    }
  /** It is cut off from all but one worker, which the others reach only if it is shared. */
  | {
      readonly kind: 'island';
      readonly who: Who;
      readonly worker: number;
      readonly isShared: boolean;
      readonly afterMs: number;
    }
  | {
      readonly kind: 'freeze';
      readonly who: Who;
      readonly afterMs: number;
      readonly isClockStanding: boolean;
    }
  | {
      readonly kind: 'worker-cut';
      readonly worker: number;
      readonly lost: 'orders' | 'answers';
      readonly afterMs: number;
    }
  | {
      readonly kind: 'restart';
      readonly worker: number;
      readonly afterMs: number;
      /** Time until the entry of the new incarnation is known; drawn if it is not given. */
      readonly entryMs?: number;
    };

export interface OwnerStep {
  readonly fault: OwnerFault;
  readonly waitMs: number;
}

/** A series of faults, and the size of the pool. */
export interface OwnerSeries {
  readonly seed: number;
  readonly steps: readonly OwnerStep[];
  readonly instances?: number;
  readonly workers?: number;
  /** Number of lasting jobs. */
  readonly jobs?: number;
  /** Whether a job of short tasks is submitted at each step; if not given, it is. */
  readonly hasBatches?: boolean;
  /** Time after the last step, in milliseconds. */
  readonly endMs?: number;
  readonly handleLog?: (instance: string, fields: LogFields) => void;
}

/** What a series has led to. */
export interface OwnerFinding {
  readonly violations: readonly string[];
  /** Starts of tasks that had run to their end on a worker that was up; not wrong in a cut. */
  readonly repeats: readonly string[];
  /** Number of claims on the pool that were taken up. */
  readonly owners: number;
}

/** Time for the first claims, and for the first tasks to start. */
const CALM_MS = 2_500;

const END_MS = 8_000;

const createFaults = (simulation: InstanceSimulation) => {
  const { places } = simulation;
  let marked = 0;
  const resolveWho = (who: Who): number => {
    switch (who) {
      case 'owner':
        return simulation.findOwner(OWNED_POOL) ?? marked;
      case 'marked':
        return marked;
      case 'claimant':
        return simulation.getClaimant();
      default:
        return who;
    }
  };
  return async (fault: OwnerFault): Promise<void> => {
    switch (fault.kind) {
      case 'none':
        return;
      case 'stop':
        await simulation.stopInstance(resolveWho(fault.who));
        return;
      case 'kill':
        await simulation.killInstance(resolveWho(fault.who));
        return;
      case 'slow-loads':
        for (let index = 0; index < simulation.countInstances(); index += 1) {
          simulation.setLinks(index, { loadMs: fault.loadMs });
        }
        return;
      case 'lose-claim':
        simulation.loseNextClaim(`pool/${OWNED_POOL}`);
        await waitFor(fault.afterMs);
        simulation.setLinks(simulation.getClaimant(), { store: 'open' });
        return;
      case 'cut': {
        const index = resolveWho(fault.who);
        marked = index;
        simulation.setLinks(index, { store: fault.store, peers: fault.peers });
        await waitFor(fault.afterMs);
        simulation.setLinks(index, { store: 'open', peers: 'open' });
        return;
      }
      case 'island': {
        const index = resolveWho(fault.who);
        const { worker, isShared } = fault;
        marked = index;
        simulation.setLinks(index, { store: 'lost', peers: 'none', onlyWorker: worker });
        if (!isShared) places.setOnlyFrom(worker, simulation.getName(index));
        await waitFor(fault.afterMs);
        simulation.setLinks(index, { store: 'open', peers: 'open', onlyWorker: undefined });
        if (!isShared) places.setOnlyFrom(worker, undefined);
        return;
      }
      case 'freeze':
        marked = resolveWho(fault.who);
        await simulation.freezeInstance(marked, fault.afterMs, fault.isClockStanding);
        return;
      case 'worker-cut':
        places.setLost(fault.worker, fault.lost);
        await waitFor(fault.afterMs);
        places.setLost(fault.worker, 'none');
        return;
      case 'restart':
        await places.restart(fault.worker, fault.afterMs, fault.entryMs);
        return;
      default:
        fault satisfies never;
    }
  };
};

/** Runs a series of faults. */
export const runOwnerFaults = async (series: OwnerSeries): Promise<OwnerFinding> => {
  const { seed, steps, instances = 4, workers = 3, jobs = 4, endMs = END_MS } = series;
  const { hasBatches = true } = series;
  const clock = createMovingClock();
  try {
    let owners = 0;
    const simulation = createInstanceSimulation({
      seed,
      instances,
      pools: [OWNED_POOL],
      workersPerPool: workers,
      handleLog: (instance, fields) => {
        const { event, duty } = fields as LogFields & Readonly<Record<string, unknown>>;
        if (event === 'duty-held' && duty === `pool/${OWNED_POOL}`) owners += 1;
        series.handleLog?.(instance, fields);
      },
    });
    const applyFault = createFaults(simulation);
    await clock.tickAsync(CALM_MS);
    void simulation.submitLasting(jobs);
    await clock.tickAsync(CALM_MS);
    for (const { fault, waitMs } of steps) {
      if (hasBatches) void simulation.submitBatch();
      void applyFault(fault);
      await clock.tickAsync(waitMs);
    }
    await clock.tickAsync(endMs);
    simulation.close();
    const { repeats } = simulation.places;
    return { violations: [...new Set(simulation.violations)], repeats, owners };
  } finally {
    clock.uninstall();
  }
};
