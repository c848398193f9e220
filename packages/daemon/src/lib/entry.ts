/**
 * One entry: joins the log follower, the instance watcher, admission and the request path, and owns
 * their life from start to graceful stop.
 */
import { combineLatest } from 'rxjs';
import { createAdmission, createRandom, resolveValues, type Config } from 'vanilladock';
import { startInstanceWatcher } from './instance-watcher.js';
import { createJsonLog } from './json-log.js';
import { createMetrics } from './metrics.js';
import { startLogFollower } from './log-follower.js';
import { createOperatorServer } from './operators/operator-server.js';
import { createInstanceClient } from './platform/instance-client.js';
import { createLogClient } from './platform/log-client.js';
import type { EntryStatus } from './operators/status.js';
import { startPeerExchange } from './peers/peer-exchange.js';
import { createEntryShares } from './peers/peer-exchange-shares.js';
import { createCallerServer } from './request/caller-server.js';
import { createForward } from './request/forward.js';
import { createRequestHandler } from './request/handler.js';
import { observeAnswers } from './request/observe-answers.js';
import { closeServer, openServer, waitMs } from './servers.js';
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

/** Attribute by which the instance list gives an entry's peer address. */
const PEERS_ATTRIBUTE = 'peers';

/** Shares an upstream's connections among the live entries, in whole connections, at least one. */
function countConnectionShare(connections: number, liveEntries: number): number {
  return Math.max(1, Math.floor(connections / Math.max(1, liveEntries)));
}

/** Starts an entry. Rejects when an address cannot be bound. */
export async function startEntry(settings: Settings): Promise<Entry> {
  const log = createJsonLog(settings);
  const follower = startLogFollower(createLogClient(settings.platform.log), log);
  const watcher = startInstanceWatcher(createInstanceClient(settings.platform.instances), log);
  const table = createUpstreamTable();
  const forward = createForward();
  const admission = createAdmission();
  const startedAtMs = performance.now();
  let isDraining = false;

  const shares = createEntryShares({
    id: settings.id,
    admission,
    listCandidates: table.listCandidates,
  });
  const applyLimits = (config: Config) =>
    config.services.forEach(({ name, pool }) => {
      const values = resolveValues(config, { service: name, pool }, Date.now());
      table.setLimits(name, values);
    });
  const listPeerAddresses = () => [
    ...settings.peers,
    ...watcher
      .getInstances()
      .filter(({ role }) => role === 'entry')
      .flatMap(({ attributes }) => attributes[PEERS_ATTRIBUTE] ?? []),
  ];
  const handleExchange = () => {
    const { config } = follower.getConfig();
    if (config === undefined) return;
    const peers = exchange.listSharers();
    const teams = exchange.sumTeamDemand(config.teams.map(({ name }) => name));
    shares.observeDemand(peers, teams, peers.length);
    shares.update(config, watcher.getInstances());
  };
  const exchange = await startPeerExchange({
    id: settings.id,
    key: settings.key,
    listen: settings.listen.peers,
    random: createRandom(process.pid),
    log,
    listAddresses: listPeerAddresses,
    getDemand: admission.getDemand,
    getApplied: () => ({ offset: follower.getNext() - 1, digest: 0 }),
    handleExchange,
  }).catch((error: unknown) => {
    follower.stop();
    watcher.stop();
    throw error;
  });
  const subscription = combineLatest([follower.config$, watcher.instances$]).subscribe(
    ([{ config }, instances]) => {
      table.setInstances(instances);
      if (config === undefined) return;
      applyLimits(config);
      exchange.setServices(config.services.map(({ name }) => name));
      shares.update(config, instances);
      const entries = instances.filter(({ role, state }) => role === 'entry' && state === 'live');
      forward.setConnectionLimit(countConnectionShare(config.defaults.connections, entries.length));
    },
  );
  const handleRequest = createRequestHandler({
    getConfig: () => follower.getConfig().config,
    listCandidates: shares.listFree,
    observeStart: table.observeStart,
    observeEnd: table.observeEnd,
    admission,
    isShedding: admission.isShedding,
    isDraining: () => isDraining,
    forward,
    random: createRandom(process.pid),
    log,
  });
  const getConfig = () => follower.getConfig().config;
  const isReady = () => !isDraining && getConfig() !== undefined;
  const metrics = createMetrics({
    getConfigVersion: () => follower.getConfig().version,
    countUpstreams: (service) => table.listCandidates(service).length,
    listServices: () => getConfig()?.services.map(({ name }) => name) ?? [],
  });
  const listUpstreams = () =>
    (getConfig()?.services ?? []).flatMap(({ name }) =>
      table
        .listCandidates(name)
        .map(({ id, inFlight }) => ({ id, service: name, state: 'live', inFlight })),
    );
  const getStatus = (): EntryStatus => ({
    id: settings.id,
    dataCentre: settings.dataCentre,
    isReady: isReady(),
    isDraining,
    uptimeMs: performance.now() - startedAtMs,
    configVersion: follower.getConfig().version,
    configAuthor: follower.getConfig().author,
    appliedOffset: follower.getNext(),
    answers: metrics.countAnswers(),
    peers: exchange
      .listLivePeers()
      .map(({ id, appliedOffset }) => ({ id, isLive: true, appliedOffset })),
    upstreams: listUpstreams(),
    leaving: watcher
      .getInstances()
      .filter(({ state }) => state === 'leaving')
      .map(({ id }) => id),
    refusals: metrics.listRefusals(),
  });
  const callers = createCallerServer(
    observeAnswers(
      (request, response) => void handleRequest(request, response),
      getConfig,
      metrics.observeAnswer,
    ),
  );
  const operators = createOperatorServer({ key: settings.key, isReady, getStatus, metrics });
  const stopSources = () => {
    subscription.unsubscribe();
    follower.stop();
    watcher.stop();
  };
  const openServers = async () => ({
    callers: await openServer(callers, settings.listen.callers),
    operators: await openServer(operators, settings.listen.operators),
    peers: exchange.address,
  });
  const addresses = await openServers().catch((error: unknown) => {
    stopSources();
    void exchange.stop();
    callers.close();
    throw error;
  });
  log.info({ event: 'started', ...addresses });

  const stop = async () => {
    isDraining = true;
    exchange.leave();
    log.info({ event: 'draining', noticeMs: settings.drainNoticeMs });
    await waitMs(settings.drainNoticeMs);
    await closeServer(callers, settings.drainLimitMs);
    await closeServer(operators, 0);
    stopSources();
    forward.close();
    await exchange.stop();
    log.info({ event: 'stopped' });
  };
  return { addresses, stop };
}
