/**
 * One entry: joins the log follower, the instance watcher, admission and the request path, and owns
 * their life from start to graceful stop.
 */
import { createServer } from 'node:http';
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
import { createForward } from './request/forward.js';
import { createRequestHandler } from './request/handler.js';
import { observeAnswers } from './request/observe-answers.js';
import { closeServer, openServer } from './servers.js';
import type { Settings } from './settings.js';
import { createUpstreamTable } from './upstream-table.js';

/** A running entry. */
export interface Entry {
  /** Bound addresses, `ip:port`. */
  readonly addresses: { readonly callers: string; readonly operators: string };
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
  const startedAtMs = performance.now();
  let isDraining = false;

  const countEntries = () =>
    Math.max(1, watcher.getInstances().filter(({ role }) => role === 'entry').length);
  const applyCapacity = (config: Config) =>
    config.services.forEach(({ name, pool }) => {
      const { slots } = resolveValues(config, { service: name, pool }, Date.now());
      admission.setCapacity(
        name,
        Math.round((table.listCandidates(name).length * slots) / countEntries()),
      );
    });
  const subscription = combineLatest([follower.config$, watcher.instances$]).subscribe(
    ([{ config }, instances]) => {
      table.setInstances(instances);
      if (config !== undefined) applyCapacity(config);
    },
  );
  const handleRequest = createRequestHandler({
    getConfig: () => follower.getConfig().config,
    listCandidates: table.listCandidates,
    observeStart: table.observeStart,
    observeEnd: table.observeEnd,
    admission,
    forward: createForward(),
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
    peers: [],
    upstreams: listUpstreams(),
    leaving: watcher
      .getInstances()
      .filter(({ state }) => state === 'leaving')
      .map(({ id }) => id),
    refusals: metrics.listRefusals(),
  });
  const callers = createServer(
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
  });
  const addresses = await openServers().catch((error: unknown) => {
    stopSources();
    callers.close();
    throw error;
  });
  log.info({ event: 'started', ...addresses });

  const stop = async () => {
    isDraining = true;
    await closeServer(callers, settings.drainLimitMs);
    await closeServer(operators, 0);
    stopSources();
    log.info({ event: 'stopped' });
  };
  return { addresses, stop };
}
