/**
 * The control plane of an entry: follows the log, catches up with the peers and serves them records
 * and state, and takes its share of the duties.
 */
import { createRandom, type Config, type Instance } from 'vanilladock';
import { startDutiesRunner, type DutiesRunner } from './duties-runner.js';
import { SNAPSHOTS_DUTY, startSnapshotWriter } from './duties-snapshots.js';
import type { JsonLog } from './json-log.js';
import { createLogAppender, type LogAppender } from './log-appender.js';
import { startLogFollower, type LogFollower } from './log-follower.js';
import { startCatchUp, type CatchUp } from './peers/catch-up.js';
import { createCatchUpClient, type CatchUpClient } from './peers/catch-up-client.js';
import { createCatchUpServer } from './peers/catch-up-server.js';
import { createLogClient } from './platform/log-client.js';
import { closeServer, openServer } from './servers.js';
import type { Settings } from './settings.js';

/** The running control plane of an entry. */
export interface Control {
  readonly follower: LogFollower;
  readonly catchUp: CatchUp;
  readonly appender: LogAppender;
  readonly duties: DutiesRunner;
  readonly client: CatchUpClient;
  /** Lists the peer addresses of the other entries, from settings and the instance list. */
  readonly listPeers: () => readonly string[];
  /** Returns the configuration to serve requests with; undefined until the entry has caught up. */
  readonly getServedConfig: () => Config | undefined;
  /** Opens the peers' server; resolves to its address, rejects when it cannot be bound. */
  readonly openPeers: () => Promise<string>;
  readonly stop: () => Promise<void>;
}

/** What the control plane needs from the entry. */
export interface ControlOptions {
  readonly settings: Settings;
  readonly log: JsonLog;
  /** Lists the live entries of the instance list. */
  readonly listEntries: () => readonly Instance[];
  /** Counts the requests of this entry in progress at an instance. */
  readonly countWork: (instanceId: string) => number;
  /** Lists the duties to take a share of, besides the snapshots. */
  readonly listDuties: () => readonly string[];
}

/** Starts the control plane of an entry. */
export function startControl(options: ControlOptions): Control {
  const { settings, log, listEntries, listDuties } = options;
  const { id } = settings;
  const random = createRandom(process.pid);
  const service = createLogClient(settings.platform.log);
  const follower = startLogFollower(service, log, random);
  const appender = createLogAppender(service, random);
  const duties = startDutiesRunner({
    id,
    listDuties: () => [SNAPSHOTS_DUTY, ...listDuties()],
    listLiveEntries: () => listEntries().map((entry) => entry.id),
    follower,
    appender,
    log,
  });
  const snapshots = startSnapshotWriter({
    id,
    follower,
    appender,
    isHolder: () => duties.getFence(SNAPSHOTS_DUTY) !== undefined,
    log,
  });
  let address = '';
  const client = createCatchUpClient(settings.key);
  const listPeers = () =>
    [...new Set([...settings.peers, ...listEntries().map((entry) => entry.address)])].filter(
      (peer) => peer !== address,
    );
  const catchUp = startCatchUp({
    follower,
    client,
    listPeers,
    getAddress: () => address,
    random,
    log,
  });
  const peers = createCatchUpServer({
    id,
    key: settings.key,
    store: follower.store,
    isCaughtUp: catchUp.isCaughtUp,
    handleNotice: catchUp.handleNotice,
    countWork: options.countWork,
  });
  return {
    follower,
    catchUp,
    appender,
    duties,
    client,
    listPeers,
    getServedConfig: () => (catchUp.isCaughtUp() ? follower.getConfig().config : undefined),
    openPeers: async () => {
      address = await openServer(peers, settings.listen.peers);
      return address;
    },
    stop: async () => {
      snapshots.stop();
      await duties.stop();
      appender.stop();
      catchUp.stop();
      await closeServer(peers, 0);
      follower.stop();
    },
  };
}
