/**
 * One entry: joins the log follower, the instance watcher, admission and the request path, and owns
 * their life from start to graceful stop.
 */
import { combineLatest } from 'rxjs';
import { createAdmission, createRandom, resolveValues, type Config } from 'vanilladock';
import { startControl } from './control.js';
import { startInstanceWatcher } from './instance-watcher.js';
import { createJsonLog } from './json-log.js';
import { createMetrics } from './metrics.js';
import { createOperatorServer } from './operators/operator-server.js';
import type { EntryStatus } from './operators/status.js';
import { createInstanceClient } from './platform/instance-client.js';
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

/** Shares an upstream's connections among the live entries, in whole connections, at least one. */
function countConnectionShare(connections: number, liveEntries: number): number {
  return Math.max(1, Math.floor(connections / Math.max(1, liveEntries)));
}

/** Starts an entry. Rejects when an address cannot be bound. */
export async function startEntry(settings: Settings): Promise<Entry> {
  const log = createJsonLog(settings);
  const watcher = startInstanceWatcher(createInstanceClient(settings.platform.instances), log);
  const listEntries = () =>
    watcher.getInstances().filter(({ role, state }) => role === 'entry' && state === 'live');
  const control = startControl(settings, log, listEntries);
  const { follower, getServedConfig } = control;
  const table = createUpstreamTable();
  const forward = createForward();
  const admission = createAdmission();
  const startedAtMs = performance.now();
  let isDraining = false;

  const countEntries = () =>
    Math.max(1, watcher.getInstances().filter(({ role }) => role === 'entry').length);
  const applyCapacity = (config: Config) =>
    config.services.forEach(({ name, pool }) => {
      const values = resolveValues(config, { service: name, pool }, Date.now());
      table.setLimits(name, values);
      const slots = table.listCandidates(name).length * values.slots;
      admission.setCapacity(name, Math.round(slots / countEntries()));
    });
  const subscription = combineLatest([follower.config$, watcher.instances$]).subscribe(
    ([{ config }, instances]) => {
      table.setInstances(instances);
      if (config === undefined) return;
      applyCapacity(config);
      const entries = instances.filter(({ role, state }) => role === 'entry' && state === 'live');
      forward.setConnectionLimit(countConnectionShare(config.defaults.connections, entries.length));
    },
  );
  const handleRequest = createRequestHandler({
    getConfig: getServedConfig,
    listCandidates: table.listCandidates,
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
  const isReady = () => !isDraining && getServedConfig() !== undefined;
  const metrics = createMetrics({
    getConfigVersion: () => follower.getConfig().version,
    countUpstreams: (service) => table.listCandidates(service).length,
    listServices: () => getConfig()?.services.map(({ name }) => name) ?? [],
  });
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
    upstreams: table.listStatus(),
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
  const stopSources = async () => {
    subscription.unsubscribe();
    await control.stop();
    watcher.stop();
    forward.close();
  };
  const openServers = async () => ({
    peers: await control.openPeers(),
    callers: await openServer(callers, settings.listen.callers),
    operators: await openServer(operators, settings.listen.operators),
  });
  const addresses = await openServers().catch(async (error: unknown) => {
    await stopSources();
    callers.close();
    throw error;
  });
  log.info({ event: 'started', ...addresses });

  const stop = async () => {
    isDraining = true;
    log.info({ event: 'draining', noticeMs: settings.drainNoticeMs });
    await waitMs(settings.drainNoticeMs);
    await closeServer(callers, settings.drainLimitMs);
    await closeServer(operators, 0);
    await stopSources();
    log.info({ event: 'stopped' });
  };
  return { addresses, stop };
}
