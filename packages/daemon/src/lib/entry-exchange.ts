/**
 * Joins the exchange among entries to an entry: what each is asked for, by service and team, decides
 * which share of every upstream's slots this entry may use.
 */
import { createRandom, type Admission } from 'vanilladock';
import type { Control } from './control.js';
import { controlMeter } from './control-bytes.js';
import type { InstanceWatcher } from './instance-watcher.js';
import type { JsonLog } from './json-log.js';
import { startPeerExchange, type PeerExchange } from './peers/peer-exchange.js';
import { createEntryShares, type EntryShares } from './peers/peer-exchange-shares.js';
import type { Settings } from './settings.js';
import type { UpstreamCandidate, UpstreamTable } from './upstream-table.js';

/** What the exchange is given by the entry. */
export interface EntryExchangeOptions {
  readonly settings: Settings;
  readonly log: JsonLog;
  readonly control: Control;
  readonly watcher: InstanceWatcher;
  readonly table: UpstreamTable;
  readonly admission: Admission;
  /** Address of the peers' server; the exchange uses the same one for datagrams. */
  readonly address: string;
}

/** The exchange of one entry. */
export interface EntryExchange {
  readonly exchange: PeerExchange;
  readonly stop: () => Promise<void>;
}

const DIGEST_DIGITS = 8;
const HEXADECIMAL = 16;
const METER_MS = 1_000;

/** Creates the shares of an entry that knows no peer yet. */
export function createShares(
  settings: Settings,
  admission: Admission,
  table: UpstreamTable,
): EntryShares<UpstreamCandidate> {
  return createEntryShares({ id: settings.id, admission, listCandidates: table.listCandidates });
}

/** Starts the exchange. Rejects when the address cannot be bound. */
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
      digest: Number.parseInt(digest.slice(0, DIGEST_DIGITS) || '0', HEXADECIMAL),
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
  let counted = 0;
  const meterTimer = setInterval(() => {
    const { sentBytes, receivedBytes } = exchange.getTraffic();
    controlMeter.addBytes('exchange', sentBytes + receivedBytes - counted);
    counted = sentBytes + receivedBytes;
  }, METER_MS);
  return {
    exchange,
    stop: async () => {
      clearInterval(meterTimer);
      await exchange.stop();
    },
  };
}
