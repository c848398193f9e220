/**
 * One instance of the system in front of pools of workers: claims duties, runs the planners of the
 * pools whose duties it holds, and answers requests about jobs for all pools.
 */
import type { Server } from 'node:http';
import type { Member } from 'vanilladock/lib/duties/claim-table.js';
import { createLoggingGuard } from '../error-guard.js';
import { startInputAgeWatch } from '../input-age.js';
import { closeServer } from '../servers.js';
import { createDutyClaims } from './duty-claims.js';
import type { DutyClaims } from './duty-claims-types.js';
import { startFleetHolder } from './fleet-holder.js';
import { FLEET_DUTY, type FleetSources } from './fleet-runner.js';
import { createHandOverMemory } from './hand-over-memory.js';
import { createJobGateway, makePoolDuty, type JobGateway } from './job-gateway.js';
import { createPeerClient, servePeers } from './peers.js';
import type { PoolFigures, PoolSources } from './pool-runner.js';
import { startPoolRunners } from './pool-runners.js';
import { startQueueDirectory } from './queue-directory.js';
import { createQueueGateway, type QueueGateway } from './queue-gateway.js';

/** Dependencies and addresses of an instance; the platform's adapter provides them. */
export interface JobEntryOptions extends PoolSources, FleetSources {
  /** This instance as its peers know it, with the address of its server for peers. */
  readonly self: Member;
  /** Server that listens for peers. */
  readonly peerServer: Server;
}

/** A running instance. */
export interface JobEntry {
  readonly gateway: JobGateway;
  /** Answers callers' requests, each about one queue. */
  readonly queues: QueueGateway;
  readonly claims: DutyClaims;
  /** Says whether the store or a peer has answered recently. */
  readonly isInContact: () => boolean;
  /** Lists the figures of the pools that this instance plans. */
  readonly listPoolFigures: () => readonly PoolFigures[];
  /** Records a response of the store that the caller received outside of the claims. */
  readonly recordStoreContact: () => void;
  /**
   * As `stop` of the claims: pools are planned on until another instance claims them. The gateway
   * keeps answering, in the end through peers.
   */
  readonly release: (mayHold: () => boolean) => Promise<void>;
  /**
   * Closes the server for peers and the connections to them, after at most `limitMs` also those with
   * calls in progress; does not release the duties.
   */
  readonly close: (limitMs: number) => Promise<void>;
}

/** An instance without a response of the store or a peer for this long counts as isolated. */
const CONTACT_TIMEOUT_MS = 2_500;

/**
 * The states of ended jobs and the tombstones of cancelled ones are kept at least this long, whatever
 * the settings say: longer than a submission can be on its way to a planner.
 */
const MIN_STATUS_MS = 120_000;

/** Interval in which queues are looked for that have left a pool, in milliseconds. */
const LEFT_QUEUES_INTERVAL_MS = 10_000;

/** Starts an instance; it claims duties from now on, so that its servers are to be open. */
export function startJobEntry(options: JobEntryOptions): JobEntry {
  const { self, config, log, peerServer } = options;
  const peers = createPeerClient(log);
  const handOvers = createHandOverMemory();
  let lastStoreContactMs = -Infinity;
  const recordStoreContact = () => {
    lastStoreContactMs = performance.now();
  };
  const listPools = () => config.value?.pools.map(({ name }) => name) ?? [];
  const listDuties = () => {
    const pools = listPools().map(makePoolDuty);
    return pools.length === 0 ? [] : [...pools, FLEET_DUTY];
  };
  const claims = createDutyClaims({
    store: options.store,
    self,
    listDuties,
    // The fleet accepts no orders of two holders that are close together in time.
    isHandedOver: (duty) => duty !== FLEET_DUTY,
    handleContact: recordStoreContact,
    getStoreContactMs: () => lastStoreContactMs,
    sendNotice: peers.sendNotice,
    findHandOver: (duty) => handOvers.find(duty, performance.now()),
    log,
  });
  const runners = startPoolRunners({
    ...options,
    statusMs: Math.max(options.statusMs, MIN_STATUS_MS),
    claims,
    listPools,
    handOvers,
  });
  const inputAge = startInputAgeWatch(log);
  const gateway = createJobGateway({
    findRunner: runners.find,
    findHolder: claims.findHolder,
    listMembers: claims.listMembers,
    selfId: self.id,
    peers,
    mayBeOld: inputAge.mayBeOld,
    log,
  });
  const directory = startQueueDirectory({ store: options.store, config, log });
  /** Drops the records of queues that are sent elsewhere now and have no jobs left in a pool. */
  const dropLeftQueues = async () => {
    for (const [pool, runner] of runners.list()) {
      const left = directory.listLeftQueues(pool);
      const closed = await runner.closeQueues(left, directory.getVersion());
      await directory.removePool(closed, pool);
    }
  };
  const guard = createLoggingGuard(log, 'queues-failed');
  const dropTimer = setInterval(
    () => guard.watch('left-queues', dropLeftQueues()),
    LEFT_QUEUES_INTERVAL_MS,
  );
  dropTimer.unref();
  startFleetHolder({ ...options, claims, handOvers, holder: self.name, gateway });
  servePeers(peerServer, {
    answer: gateway.answerLocally,
    answerNotice: claims.answerNotice,
    log,
  });
  claims.start();
  return {
    gateway,
    queues: createQueueGateway({ gateway, directory, mayBeOld: inputAge.mayBeOld }),
    claims,
    isInContact: () => {
      const lastContactMs = Math.max(lastStoreContactMs, peers.getLastContactMs());
      return performance.now() - lastContactMs < CONTACT_TIMEOUT_MS;
    },
    listPoolFigures: () => runners.list().flatMap(([, runner]) => runner.getFigures() ?? []),
    recordStoreContact,
    release: claims.stop,
    close: async (limitMs) => {
      clearInterval(dropTimer);
      inputAge.stop();
      directory.stop();
      await closeServer(peerServer, limitMs);
      peers.close();
    },
  };
}
