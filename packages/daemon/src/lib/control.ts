/**
 * The control part of an entry: follows the log, keeps level with the peers and serves them what it
 * knows.
 */
import { createRandom, type Config } from 'vanilladock';
import type { JsonLog } from './json-log.js';
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
  /** The configuration to serve by; undefined until the entry has caught up. */
  readonly getServedConfig: () => Config | undefined;
  /** Opens the peers' server; resolves to its address. Rejects when it cannot be bound. */
  readonly openPeers: () => Promise<string>;
  readonly stop: () => Promise<void>;
}

/** Starts the control part of an entry. */
export function startControl(settings: Settings, log: JsonLog): Control {
  const random = createRandom(process.pid);
  const follower = startLogFollower(createLogClient(settings.platform.log), log, random);
  let address = '';
  const catchUp = startCatchUp({
    follower,
    client: createCatchUpClient(settings.key),
    listPeers: () => settings.peers,
    getAddress: () => address,
    random,
    log,
  });
  const peers = createCatchUpServer({
    id: settings.id,
    key: settings.key,
    store: follower.store,
    isCaughtUp: catchUp.isCaughtUp,
    handleNotice: catchUp.observePeer,
  });
  return {
    follower,
    catchUp,
    getServedConfig: () => (catchUp.isCaughtUp() ? follower.getConfig().config : undefined),
    openPeers: async () => {
      address = await openServer(peers, settings.listen.peers);
      return address;
    },
    stop: async () => {
      catchUp.stop();
      await closeServer(peers, 0);
      follower.stop();
    },
  };
}
