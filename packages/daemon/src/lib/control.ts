/**
 * The control part of an entry: follows the log, keeps level with the peers, serves them what it knows,
 * and takes its share of the duties.
 */
import { createRandom, type Config, type Instance } from 'vanilladock';
import { startDutiesRunner, type DutiesRunner } from './duties-runner.js';
import { SNAPSHOTS_DUTY, startSnapshotWriter } from './duties-snapshots.js';
import type { JsonLog } from './json-log.js';
import { createLogAppender, type LogAppender } from './log-appender.js';
import { startLogFollower, type LogFollower } from './log-follower.js';
import { startCatchUp, type CatchUp } from './peers/catch-up.js';
import { createCatchUpClient } from './peers/catch-up-client.js';
import { createCatchUpServer } from './peers/catch-up-server.js';
import { createLogClient } from './platform/log-client.js';
import { closeServer, openServer } from './servers.js';
import type { Settings } from './settings.js';

/** The running control part. */
export interface Control {
  readonly follower: LogFollower;
  readonly catchUp: CatchUp;
  readonly appender: LogAppender;
  readonly duties: DutiesRunner;
  /** The configuration to serve by; undefined until the entry has caught up. */
  readonly getServedConfig: () => Config | undefined;
  /** Opens the peers' server; resolves to its address. Rejects when it cannot be bound. */
  readonly openPeers: () => Promise<string>;
  readonly stop: () => Promise<void>;
}

const DUTIES = [SNAPSHOTS_DUTY];

/** Starts the control part of an entry; `listEntries` lists the live entries of the instance list. */
export function startControl(
  settings: Settings,
  log: JsonLog,
  listEntries: () => readonly Instance[],
): Control {
  const { id } = settings;
  const random = createRandom(process.pid);
  const service = createLogClient(settings.platform.log);
  const follower = startLogFollower(service, log, random);
  const appender = createLogAppender(service, random);
  const duties = startDutiesRunner({
    id,
    listDuties: () => DUTIES,
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
  const catchUp = startCatchUp({
    follower,
    client: createCatchUpClient(settings.key),
    listPeers: () => [
      ...new Set([...settings.peers, ...listEntries().map((entry) => entry.address)]),
    ],
    getAddress: () => address,
    random,
    log,
  });
  const peers = createCatchUpServer({
    id,
    key: settings.key,
    store: follower.store,
    isCaughtUp: catchUp.isCaughtUp,
    handleNotice: catchUp.observePeer,
  });
  return {
    follower,
    catchUp,
    appender,
    duties,
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
