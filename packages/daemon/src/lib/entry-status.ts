/** Builds the status that an entry shows to operators from the state of its parts. */
import type { Control } from './control.js';
import type { InstanceWatcher } from './instance-watcher.js';
import type { Metrics } from './metrics.js';
import type { EntryStatus } from './operators/status.js';
import type { PeerExchange } from './peers/peer-exchange.js';
import type { Settings } from './settings.js';
import type { UpstreamTable } from './upstream-table.js';

/** The parts of an entry that its status is read from. */
export interface StatusSources {
  readonly settings: Settings;
  readonly control: Control;
  readonly watcher: InstanceWatcher;
  readonly table: UpstreamTable;
  readonly metrics: Metrics;
  readonly exchange: PeerExchange;
  readonly isReady: () => boolean;
  readonly isDraining: () => boolean;
  /** Monotonic time of the start, in milliseconds. */
  readonly startedAtMs: number;
}

/** Lists the other entries, from the instance list and the exchange, with their last reports. */
function listPeers({ settings, watcher, exchange }: StatusSources): EntryStatus['peers'] {
  const live = new Map(exchange.listLivePeers().map((peer) => [peer.id, peer.appliedOffset]));
  const listed = watcher
    .getInstances()
    .filter(({ role }) => role === 'entry')
    .map(({ id }) => id);
  return [...new Set([...listed, ...live.keys()])]
    .filter((id) => id !== settings.id)
    .map((id) => ({ id, isLive: live.has(id), appliedOffset: live.get(id) ?? -1 }));
}

/** Builds the current status of an entry. */
export function buildStatus(sources: StatusSources): EntryStatus {
  const { settings, control, watcher, table, metrics } = sources;
  const { config, next } = control.follower.store.getState();
  return {
    id: settings.id,
    dataCentre: settings.dataCentre,
    isReady: sources.isReady(),
    isDraining: sources.isDraining(),
    uptimeMs: performance.now() - sources.startedAtMs,
    configVersion: config.version,
    configAuthor: config.author,
    appliedOffset: next - 1,
    answers: metrics.countAnswers(),
    peers: listPeers(sources),
    upstreams: table.listStatus(),
    leaving: watcher
      .getInstances()
      .filter(({ state }) => state === 'leaving')
      .map(({ id }) => id),
    refusals: metrics.listRefusals(),
  };
}
