/**
 * One entry: assembles the control plane, the instance watcher, admission and the request path, and
 * manages their lifecycle from start to graceful stop.
 */
import { combineLatest } from 'rxjs';
import { createAdmission, createRandom, planDrain, resolveValues, type Config } from 'vanilladock';
import { startControl } from './control.js';
import { createShares, startEntryExchange } from './entry-exchange.js';
import { startEntryFleet } from './entry-fleet.js';
import { buildStatus } from './entry-status.js';
import { FLEET_DUTIES } from './fleet/runner.js';
import { startInstanceWatcher } from './instance-watcher.js';
import { createJsonLog } from './json-log.js';
import { createMetrics } from './metrics.js';
import { createOperatorServer } from './operators/operator-server.js';
import { createInstanceClient } from './platform/instance-client.js';
import { createCallerServer } from './request/caller-server.js';
import { createDrain } from './request/drain.js';
import { createForwarder } from './request/forward.js';
import { createRequestHandler } from './request/handler.js';
import { observeRequests } from './request/observe-requests.js';
import { computeCallerLimits, createClosedLog } from './connection-limits.js';
import { closeServer, openServer, waitAtMost, waitMs } from './servers.js';
import type { Settings } from './settings.js';
import { createUpstreamTable, type UpstreamTable } from './upstream-table.js';

/** A running entry. */
export interface Entry {
  /** Addresses that the servers are bound to, `ip:port`. */
  readonly addresses: {
    readonly callers: string;
    readonly operators: string;
    readonly peers: string;
  };
  /**
   * Stops gracefully: fails readiness, refuses what cannot be answered before the drain limit, stops
   * accepting connections, answers every request in progress by then and closes everything. Resolves
   * `RELEASE_LIMIT_MS` after the drain at the latest, also when the platform does not answer.
   */
  readonly stop: () => Promise<void>;
}

/**
 * Longest time in which a stopping entry gives its duties back, in milliseconds; the time limit of
 * one append. Duties that were not given back pass to others when their leases end.
 */
const RELEASE_LIMIT_MS = 5_000;

/** Computes this entry's equal share of an upstream's connections, rounded down, at least one. */
function countConnectionShare(connections: number, liveEntries: number): number {
  return Math.max(1, Math.floor(connections / Math.max(1, liveEntries)));
}

/** Applies the configured limits of every service to its upstreams. */
function setLimits(table: UpstreamTable, config: Config): void {
  config.services.forEach(({ name, pool }) =>
    table.setLimits(name, resolveValues(config, { service: name, pool }, Date.now())),
  );
}

/** Creates and connects the parts of an entry, without opening a server. */
function createParts(settings: Settings) {
  const log = createJsonLog(settings);
  const watcher = startInstanceWatcher(createInstanceClient(settings.platform.instances), log);
  const listEntries = () =>
    watcher.getInstances().filter(({ role, state }) => role === 'entry' && state === 'live');
  const table = createUpstreamTable();
  const admission = createAdmission();
  const shares = createShares(settings, admission, table);
  const forward = createForwarder();
  const countWork = table.countInFlight;
  const listDuties = () => (settings.platform.pools === undefined ? [] : FLEET_DUTIES);
  const control = startControl({ settings, log, listEntries, countWork, listDuties });
  const fleet = startEntryFleet({ settings, log, control, watcher, countWork });
  const subscription = combineLatest([control.follower.config$, watcher.instances$]).subscribe(
    ([{ config }, instances]) => {
      table.setInstances(instances);
      if (config === undefined) return;
      setLimits(table, config);
      shares.update(config, instances);
      const { connections } = config.defaults;
      forward.setConnectionLimit(countConnectionShare(connections, listEntries().length));
    },
  );
  const stop = async () => {
    subscription.unsubscribe();
    await fleet?.stop();
    await control.stop();
    watcher.stop();
    forward.close();
  };
  return { settings, log, watcher, table, admission, shares, forward, control, stop };
}

/** Starts an entry; rejects when an address cannot be bound. */
export async function startEntry(settings: Settings): Promise<Entry> {
  const startedAtMs = performance.now();
  const parts = createParts(settings);
  const { log, table, admission, shares, control } = parts;
  const getConfig = () => control.follower.getConfig().config;
  const drain = createDrain();
  const isDraining = () => drain.getPlan() !== undefined;
  const isReady = () => !isDraining() && control.getServedConfig() !== undefined;
  const metrics = createMetrics({
    getConfigVersion: () => control.follower.getConfig().version,
    countUpstreams: (service) => table.listCandidates(service).length,
    listServices: () => getConfig()?.services.map(({ name }) => name) ?? [],
  });
  const handleRequest = createRequestHandler({
    getConfig: control.getServedConfig,
    listCandidates: shares.listFreeCandidates,
    observeStart: table.observeStart,
    observeEnd: table.observeEnd,
    admission,
    isShedding: admission.isShedding,
    drain,
    forward: parts.forward,
    random: createRandom(process.pid),
    log,
  });
  const callers = createCallerServer(
    observeRequests(
      (request, response) => void handleRequest(request, response),
      getConfig,
      metrics.observeAnswer,
    ),
  );
  const openExchange = async (address: string) => startEntryExchange({ ...parts, address }, shares);
  const openServers = async () => {
    const peers = await control.openPeers();
    const entryExchange = await openExchange(peers);
    const { exchange } = entryExchange;
    const sources = { ...parts, metrics, exchange, isReady, isDraining };
    const getStatus = () => buildStatus({ ...sources, startedAtMs });
    const operators = createOperatorServer({ key: settings.key, isReady, getStatus, metrics });
    const subscription = control.follower.config$.subscribe(({ config }) =>
      exchange.setServices(config?.services.map(({ name }) => name) ?? []),
    );
    const stopExchange = async () => {
      subscription.unsubscribe();
      await entryExchange.stop();
    };
    const openCallersAndOperators = async () => ({
      callers: await openServer(callers, settings.listen.callers, {
        ...computeCallerLimits(settings.maxDescriptors),
        handleClosed: createClosedLog(log, 'callers'),
      }),
      operators: await openServer(operators, settings.listen.operators),
    });
    const addresses = await openCallersAndOperators().catch(async (error: unknown) => {
      await stopExchange();
      callers.close();
      throw error;
    });
    return { exchange, operators, stopExchange, addresses: { peers, ...addresses } };
  };
  const servers = await openServers().catch(async (error: unknown) => {
    await parts.stop();
    throw error;
  });
  log.info({ event: 'started', ...servers.addresses });

  const release = async () => {
    await closeServer(servers.operators, 0);
    await servers.stopExchange();
    await parts.stop();
  };
  const stop = async () => {
    const { drainNoticeMs: noticeMs, drainLimitMs: limitMs } = settings;
    const plan = planDrain(performance.now(), { noticeMs, limitMs });
    drain.start(plan);
    servers.exchange.leave();
    log.info({ event: 'draining', noticeMs });
    await waitMs(noticeMs);
    const limitLeftMs = Math.max(0, plan.closeByMs - performance.now());
    const cutRequests = await closeServer(callers, limitLeftMs);
    const isReleased = await waitAtMost(release(), RELEASE_LIMIT_MS);
    log.info({ event: 'stopped', cutRequests, isReleased });
  };
  return { addresses: servers.addresses, stop };
}
