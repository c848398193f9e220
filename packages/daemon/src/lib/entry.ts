/**
 * One entry: joins the log follower, the instance watcher, admission and the request path, and owns
 * their life from start to graceful stop.
 */
import { createServer } from 'node:http';
import { combineLatest } from 'rxjs';
import { createAdmission, createRandom, resolveValues, type Config } from 'vanilladock';
import { startInstanceWatcher } from './instance-watcher.js';
import { createJsonLog } from './json-log.js';
import { startLogFollower } from './log-follower.js';
import { createOperatorServer } from './operators/operator-server.js';
import { createInstanceClient } from './platform/instance-client.js';
import { createLogClient } from './platform/log-client.js';
import { createForward } from './request/forward.js';
import { createRequestHandler } from './request/handler.js';
import { startCatchUp } from './peers/catch-up.js';
import { createCatchUpClient } from './peers/catch-up-client.js';
import { createCatchUpServer } from './peers/catch-up-server.js';
import { closeServer, openServer } from './servers.js';
import type { Settings } from './settings.js';
import { createUpstreamTable } from './upstream-table.js';

/** A running entry. */
export interface Entry {
  /** Bound addresses, `ip:port`. */
  readonly addresses: {
    readonly callers: string;
    readonly operators: string;
    readonly peers: string;
  };
  /** Fails readiness, stops accepting, finishes requests in progress and stops. */
  readonly stop: () => Promise<void>;
}

/** Starts an entry. Rejects when an address cannot be bound. */
export async function startEntry(settings: Settings): Promise<Entry> {
  const log = createJsonLog(settings);
  const follower = startLogFollower(createLogClient(settings.platform.log), log);
  const watcher = startInstanceWatcher(createInstanceClient(settings.platform.instances), log);
  const table = createUpstreamTable();
  const admission = createAdmission();
  let isDraining = false;
  let peerAddress = '';

  const catchUp = startCatchUp({
    follower,
    client: createCatchUpClient(settings.key),
    listPeers: () => settings.peers,
    getAddress: () => peerAddress,
    random: createRandom(process.pid),
    log,
  });
  const peers = createCatchUpServer({
    id: settings.id,
    key: settings.key,
    store: follower.store,
    isCaughtUp: catchUp.isCaughtUp,
    handleNotice: catchUp.observePeer,
  });
  const getServedConfig = () => (catchUp.isCaughtUp() ? follower.getConfig().config : undefined);

  const applyCapacity = (config: Config) =>
    config.services.forEach(({ name, pool }) => {
      const { slots, queueLength } = resolveValues(config, { service: name, pool }, Date.now());
      admission.setCapacity(name, table.listCandidates(name).length * slots);
      admission.setQueueLength(queueLength);
    });
  const subscription = combineLatest([follower.config$, watcher.instances$]).subscribe(
    ([{ config }, instances]) => {
      table.setInstances(instances);
      if (config !== undefined) applyCapacity(config);
    },
  );
  const handleRequest = createRequestHandler({
    getConfig: getServedConfig,
    listCandidates: table.listCandidates,
    observeStart: table.observeStart,
    observeEnd: table.observeEnd,
    admission,
    forward: createForward(),
    random: createRandom(process.pid),
    log,
  });
  const callers = createServer((request, response) => void handleRequest(request, response));
  const operators = createOperatorServer({
    key: settings.key,
    isReady: () => !isDraining && getServedConfig() !== undefined,
    getStatus: () => ({ id: settings.id, configVersion: follower.getConfig().version }),
  });
  peerAddress = await openServer(peers, settings.listen.peers);
  const addresses = {
    peers: peerAddress,
    callers: await openServer(callers, settings.listen.callers),
    operators: await openServer(operators, settings.listen.operators),
  };
  log.info({ event: 'started', ...addresses });

  const stop = async () => {
    isDraining = true;
    await closeServer(callers, settings.drainLimitMs);
    await closeServer(operators, 0);
    catchUp.stop();
    await closeServer(peers, 0);
    subscription.unsubscribe();
    follower.stop();
    watcher.stop();
    log.info({ event: 'stopped' });
  };
  return { addresses, stop };
}
