/** Runs the fleet duty under one claim: maintenance waves, and lending among pools. */
import type { BehaviorSubject } from 'rxjs';
import type { Claim } from 'vanilladock/lib/duties/claim-table.js';
import type { Fleet, FleetConfig, FleetFence, WaveOrder } from 'vanilladock/lib/ports/fleet.js';
import type { KeyedStore } from 'vanilladock/lib/ports/keyed-store.js';
import type { JsonLog } from '../json-log.js';
import { waitMs } from './clock.js';
import type { JobGateway } from './job-gateway.js';
import { createLender } from './lender.js';
import { createLifeEnds, type LifeEnds } from './life-ends.js';
import { createWaveLedger } from './wave-ledger.js';
import { createWaveRunner } from './wave-runner.js';

/** Name of the duty. */
export const FLEET_DUTY = 'fleet';

/** What the runner is given by its instance, whoever holds the duty. */
export interface FleetSources {
  readonly store: KeyedStore;
  readonly fleet: Fleet;
  readonly config: BehaviorSubject<FleetConfig | undefined>;
  readonly waves: BehaviorSubject<ReadonlyMap<number, WaveOrder>>;
  readonly publishWave: (order: WaveOrder, state: 'running' | 'completed') => Promise<boolean>;
  /** Another holder may have given orders until this long before. */
  readonly holderGapMs: number;
  /** Orders for instances that the fleet takes in a second. */
  readonly fleetOrdersPerSecond: number;
  readonly log: JsonLog;
}

/** What the runner needs. */
export interface FleetRunnerOptions extends FleetSources {
  readonly claim: Claim;
  readonly holder: string;
  readonly gateway: JobGateway;
  readonly handleLost: (why: string) => void;
}

/** What the parts of the duty share. */
export interface FleetDuty extends FleetRunnerOptions {
  /** Pause between two looks at the fleet. */
  readonly tickMs: number;
  readonly lifeEnds: LifeEnds;
  readonly takeFence: () => FleetFence;
  readonly handleLoss: (why: string) => void;
  readonly isStopped: () => boolean;
}

/** A running duty. */
export interface FleetRunner {
  readonly claim: Claim;
  readonly stop: () => void;
}

const TICK_MS = 250;
const IDLE_TICK_MS = 1_000;

/** Orders under one claim have tokens of their own between those of two claims. */
const ORDERS_PER_CLAIM = 1_000_000;

/** Starts the duty. */
export function startFleetRunner(options: FleetRunnerOptions): FleetRunner {
  const { claim, holder, fleet, log } = options;
  const ledger = createWaveLedger(options.store, claim.token, log);
  const startedMs = performance.now();
  let orders = 0;
  let isStopped = false;

  const stop = () => {
    isStopped = true;
    ledger.close();
  };
  const handleLoss = (why: string) => {
    if (isStopped) return;
    stop();
    options.handleLost(why);
  };
  /** Takes a token that rises with each order, so that one that arrives late has no effect. */
  const takeFence = () => {
    orders += 1;
    return { holder, token: claim.token * ORDERS_PER_CLAIM + orders };
  };
  const lifeEnds = createLifeEnds(options.gateway);
  const duty: FleetDuty = {
    ...options,
    lifeEnds,
    tickMs: TICK_MS,
    takeFence,
    handleLoss,
    isStopped: () => isStopped,
  };
  const waveRunner = createWaveRunner(duty, ledger);
  const lender = createLender(duty);
  const runTick = async () => {
    const listed = await fleet.listInstances();
    if (listed === undefined) {
      log.warn({ event: 'dependency-lost', dependency: 'fleet' });
      return IDLE_TICK_MS;
    }
    const instances = new Map(listed.map((instance) => [instance.id, instance]));
    lifeEnds.handleList(instances);
    await Promise.all([waveRunner.run(instances), lender.run(instances, waveRunner.listHeld())]);
    return TICK_MS;
  };
  const run = async () => {
    if (!(await ledger.load())) {
      handleLoss('ledger-fenced');
      return;
    }
    await waitMs(Math.max(0, options.holderGapMs - (performance.now() - startedMs)));
    while (!isStopped) await waitMs(await runTick());
  };
  void run();
  return { claim, stop };
}
