/**
 * Connects an entry to the exchange among entries. Each entry reports its demand by service and
 * team; from these reports this entry computes its share of every upstream's slots.
 */
import { createRandom, type Admission } from 'vanilladock';
import type { Control } from './control.js';
import { controlMeter } from './control-bytes.js';
import type { InstanceWatcher } from './instance-watcher.js';
import type { JsonLog } from './json-log.js';
import { startPeerExchange, type PeerExchange } from './peers/peer-exchange.js';
import { createEntryShares, type EntryShares } from './peers/entry-shares.js';
import type { Settings } from './settings.js';
import type { UpstreamCandidate, UpstreamTable } from './upstream-table.js';

/** What the exchange needs from the entry. */
export interface EntryExchangeOptions {
  readonly settings: Settings;
  readonly log: JsonLog;
  readonly control: Control;
  readonly watcher: InstanceWatcher;
  readonly table: UpstreamTable;
  readonly admission: Admission;
  /** Address of the peers' server; the exchange binds the same address for datagrams. */
  readonly address: string;
}

/** The running exchange of one entry. */
export interface EntryExchange {
  readonly exchange: PeerExchange;
  readonly stop: () => Promise<void>;
}

const DIGEST_DIGITS = 8;
const HEXADECIMAL_RADIX = 16;
const METER_INTERVAL_MS = 1_000;

/** Creates the upstream shares of an entry that has no reports of peers yet. */
export function createShares(
  settings: Settings,
  admission: Admission,
  table: UpstreamTable,
): EntryShares<UpstreamCandidate> {
  return createEntryShares({ id: settings.id, admission, listCandidates: table.listCandidates });
}

/** Starts the exchange; rejects when the address cannot be bound. */
export async function startEntryExchange(
  options: EntryExchangeOptions,
  shares: EntryShares<UpstreamCandidate>,
): Promise<EntryExchange> {
  const { settings, log, control, watcher, admission } = options;
  const { follower } = control;
  const handleExchange = () => {
    const { config } = follower.getConfig();
    if (config === undefined) return;
    const peers = exchange.listSharers();
    const teams = exchange.sumTeamDemand(config.teams.map(({ name }) => name));
    shares.observeDemand(peers, teams, peers.length);
    shares.update(config, watcher.getInstances());
  };
  const getApplied = () => {
    const { next, digest } = follower.store.getState();
    return {
      offset: next - 1,
      digest: Number.parseInt(digest.slice(0, DIGEST_DIGITS) || '0', HEXADECIMAL_RADIX),
    };
  };
  const exchange = await startPeerExchange({
    id: settings.id,
    key: settings.key,
    listen: options.address,
    random: createRandom(process.pid),
    log,
    listAddresses: control.listPeers,
    getDemand: admission.getDemand,
    getApplied,
    handleExchange,
  });
  let countedBytes = 0;
  const meterTimer = setInterval(() => {
    const { sentBytes, receivedBytes } = exchange.getTraffic();
    controlMeter.addBytes('exchange', sentBytes + receivedBytes - countedBytes);
    countedBytes = sentBytes + receivedBytes;
  }, METER_INTERVAL_MS);
  return {
    exchange,
    stop: async () => {
      clearInterval(meterTimer);
      await exchange.stop();
    },
  };
}
