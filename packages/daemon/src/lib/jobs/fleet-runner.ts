/** Runs the fleet duty under one claim: maintenance waves, and lending between pools. */
import type { BehaviorSubject } from 'rxjs';
import type { Claim } from 'vanilladock/lib/duties/claim-table.js';
import type { TimedHandOver } from 'vanilladock/lib/jobs/hand-over.js';
import type { Fleet, FleetConfig, FleetFence, WaveOrder } from 'vanilladock/lib/ports/fleet.js';
import type { KeyedStore } from 'vanilladock/lib/ports/keyed-store.js';
import { createErrorGuard, makeErrorFields } from '../error-guard.js';
import type { JsonLog } from '../json-log.js';
import { waitMs } from './clock.js';
import type { Predecessor } from './duty-notices.js';
import { createFleetOrderGap } from './fleet-order-gap.js';
import type { JobGateway } from './job-gateway.js';
import { createLender } from './lender.js';
import { createEvacuations, type Evacuations } from './evacuations.js';
import { createIncarnationEnds, type IncarnationEnds } from './incarnation-ends.js';
import { createWaveJournal } from './wave-journal.js';
import { createWaveRunner } from './wave-runner.js';
import { startAllotter } from '../teams/allotter.js';

/** Name of the fleet duty. */
export const FLEET_DUTY = 'fleet';

/** Dependencies that the instance provides under every claim. */
export interface FleetSources {
  readonly store: KeyedStore;
  readonly fleet: Fleet;
  /** Pools of the fleet; undefined until they are known. */
  readonly config: BehaviorSubject<FleetConfig | undefined>;
  /** Maintenance orders, by wave number. */
  readonly waves: BehaviorSubject<ReadonlyMap<number, WaveOrder>>;
  /** Resolves to whether the state was published; if not, the next round tries again. */
  readonly publishWave: (order: WaveOrder, state: 'running' | 'completed') => Promise<boolean>;
  /** Least time between an earlier holder's orders and those of this one, in milliseconds. */
  readonly holderGapMs: number;
  /** Instance orders per second that the fleet accepts. */
  readonly fleetOrdersPerSecond: number;
  readonly log: JsonLog;
}

/** Dependencies of the runner under one claim. */
export interface FleetRunnerOptions extends FleetSources {
  readonly claim: Claim;
  /** Name of this instance, with which the fleet's orders are fenced. */
  readonly holder: string;
  readonly gateway: JobGateway;
  /** Says whether orders may be given under the claim now. */
  readonly isInForce: () => boolean;
  /** Resolves to what is known of the holder before. */
  readonly queryPredecessor: () => Promise<Predecessor>;
  /** Called when a later holder has taken over the duty. */
  readonly handleLost: (why: string) => void;
}

/** Context that the parts of the duty share. */
export interface FleetDuty extends FleetRunnerOptions {
  /** Pause between two rounds, in milliseconds. */
  readonly tickMs: number;
  readonly evacuations: Evacuations;
  readonly incarnationEnds: IncarnationEnds;
  /** Takes a fence for one order; each has a higher token than the one before. */
  readonly takeFence: () => FleetFence;
  /** Stops the duty and reports its loss; has no effect once it has stopped. */
  readonly handleLoss: (why: string) => void;
  readonly isStopped: () => boolean;
  /** Says whether orders may be sent now; until then only what precedes them is done. */
  readonly mayOrder: () => boolean;
}

/** A running fleet duty. */
export interface FleetRunner {
  readonly claim: Claim;
  /** Stops: from now on no order is sent. */
  readonly stop: () => void;
  /** Returns what this holder tells the next one; it has to have stopped. */
  readonly getHandOver: () => TimedHandOver;
}

const TICK_MS = 250;

/** Pause after a round that failed, or in which the fleet could not be listed. */
const FAILED_TICK_MS = 1_000;

/** Number of tokens reserved for the orders under one claim, between those of two claims. */
const ORDERS_PER_CLAIM = 1_000_000;

/**
 * Starts the fleet duty. The first orders follow once the journal is loaded and nothing has been
 * ordered for `holderGapMs`; rounds without orders begin before.
 */
export function startFleetRunner(options: FleetRunnerOptions): FleetRunner {
  const { claim, holder, log } = options;
  const journal = createWaveJournal(options.store, claim.token, log);
  const claimedMs = performance.now();
  const gap = createFleetOrderGap({
    fleet: options.fleet,
    token: claim.token,
    gapMs: options.holderGapMs,
    claimedMs,
  });
  const { fleet } = gap;
  let orderCount = 0;
  let isStopped = false;
  let isListLost = false;
  let isWaitLogged = false;

  /** Logs once how long orders had to wait; they still had to if the duty ends before. */
  const recordWait = (isWaiting: boolean) => {
    if (isWaitLogged) return;
    isWaitLogged = true;
    const waitedMs = Math.round(performance.now() - claimedMs);
    log.info({ event: 'fleet-wait', token: claim.token, waitedMs, isWaiting });
  };
  const stop = () => {
    isStopped = true;
    recordWait(true);
    journal.close();
  };
  const handleLoss = (why: string) => {
    if (isStopped) return;
    stop();
    options.handleLost(why);
  };
  /** Takes a token that rises with each order, so that an order that arrives late has no effect. */
  const takeFence = () => {
    orderCount += 1;
    return { holder, token: claim.token * ORDERS_PER_CLAIM + orderCount };
  };
  const incarnationEnds = createIncarnationEnds(options.gateway);
  const duty: FleetDuty = {
    ...options,
    fleet,
    evacuations: createEvacuations(options.gateway),
    incarnationEnds,
    tickMs: TICK_MS,
    takeFence,
    handleLoss,
    isStopped: () => isStopped,
    mayOrder: () => !isStopped && options.isInForce() && gap.isOver(performance.now()),
  };
  const waveRunner = createWaveRunner(duty, journal);
  const lender = createLender(duty);
  /** Logs when the list becomes unavailable, and when it is available again. */
  const recordList = (isLost: boolean) => {
    if (isLost === isListLost) return;
    isListLost = isLost;
    if (isLost) log.warn({ event: 'dependency-lost', dependency: 'fleet' });
    else log.info({ event: 'dependency-regained', dependency: 'fleet' });
  };
  const runTick = async () => {
    const list = await fleet.listInstances();
    recordList(list === undefined);
    if (list === undefined) return FAILED_TICK_MS;
    const instances = new Map(list.map((instance) => [instance.id, instance]));
    incarnationEnds.handleList(instances);
    if (duty.mayOrder()) recordWait(false);
    await Promise.all([waveRunner.run(instances), lender.run(instances, waveRunner.listHeld())]);
    return TICK_MS;
  };
  /** Runs one round; resolves to the pause after it, in milliseconds. */
  const runRound = async (): Promise<number> => {
    try {
      return await runTick();
    } catch (error) {
      log.error({ event: 'round-failed', duty: FLEET_DUTY, reason: String(error) });
      return FAILED_TICK_MS;
    }
  };
  const run = async () => {
    if (!(await journal.load())) {
      handleLoss('ledger-fenced');
      return;
    }
    while (!isStopped) await waitMs(await runRound());
  };
  const observePredecessor = async () => {
    gap.observePredecessor(await options.queryPredecessor());
    const earlierOrdersMs = gap.findEarlierOrderMs();
    if (earlierOrdersMs !== undefined) journal.observeEarlierOrders(earlierOrdersMs);
  };
  startAllotter({
    claim,
    gateway: options.gateway,
    getConfig: () => options.config.value,
    isStopped: () => isStopped,
    log,
  });
  const guard = createErrorGuard((where, error) => {
    log.error({ event: 'duty-failed', duty: FLEET_DUTY, where, ...makeErrorFields(error) });
    handleLoss('duty-failed');
  });
  guard.watch('journal', run());
  guard.watch('predecessor', observePredecessor());
  return { claim, stop, getHandOver: () => gap.makeHandOver(performance.now()) };
}
