/**
 * Starts the duties of pools and maintenance for an entry whose settings name the pool operations.
 */
import type { Control } from './control.js';
import { startFleetRunner, type FleetRunner } from './fleet/runner.js';
import { createWorkCounter } from './fleet/work-counter.js';
import type { InstanceWatcher } from './instance-watcher.js';
import type { JsonLog } from './json-log.js';
import { createPoolClient } from './platform/pool-client.js';
import type { Settings } from './settings.js';

/** What the fleet duties need from the entry. */
export interface EntryFleetOptions {
  readonly settings: Settings;
  readonly log: JsonLog;
  readonly control: Control;
  readonly watcher: InstanceWatcher;
  /** Counts the requests of this entry in progress at an instance. */
  readonly countWork: (instanceId: string) => number;
}

/** Starts the fleet duties; undefined when the settings name no address of the pool operations. */
export function startEntryFleet(options: EntryFleetOptions): FleetRunner | undefined {
  const { settings, log, control, watcher } = options;
  if (settings.platform.pools === undefined) return undefined;
  const { store } = control.follower;
  const work = createWorkCounter({
    client: control.client,
    listPeers: control.listPeers,
    countOwn: options.countWork,
    getState: store.getState,
  });
  return startFleetRunner({
    entryId: settings.id,
    store,
    appender: control.appender,
    duties: control.duties,
    getList: () => ({
      instances: watcher.getInstances(),
      requestedAtMs: watcher.getRequestedAtMs(),
    }),
    pools: createPoolClient(settings.platform.pools),
    work,
    log,
    times: settings.fleet,
  });
}
