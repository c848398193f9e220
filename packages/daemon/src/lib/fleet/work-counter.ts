/**
 * Counts the work that runs on instances about to be stopped: requests in progress at this entry
 * and at every listed peer, and tasks under lease. When any peer fails to answer, all counts are
 * unknown; an instance with unknown work is not rebooted.
 */
import type { FleetState } from 'vanilladock';
import type { CatchUpClient } from '../peers/catch-up-client.js';

/** Dependencies of the counter. */
export interface WorkCounterOptions {
  readonly client: Pick<CatchUpClient, 'fetchWork'>;
  /** Lists the peer addresses, `ip:port`, of the other entries; each must answer a refresh. */
  readonly listPeers: () => readonly string[];
  /** Counts the requests of this entry in progress at an instance. */
  readonly countOwn: (instanceId: string) => number;
  readonly getState: () => FleetState;
}

/** A counter of work. */
export interface WorkCounter {
  /**
   * Queries all peers for the work on the given instances and replaces the counts. Does not reject
   * when a peer fails to answer; the counts are empty then.
   */
  readonly refresh: (instanceIds: readonly string[]) => Promise<void>;
  /** Returns the requests and tasks on each instance of the last refresh; absent where unknown. */
  readonly getCounts: () => ReadonlyMap<string, number>;
}

/** Creates a counter without any counts. */
export function createWorkCounter(options: WorkCounterOptions): WorkCounter {
  let counts: ReadonlyMap<string, number> = new Map();
  const countTasks = (instanceId: string) =>
    options.getState().placement.workers.get(instanceId)?.tasks.size ?? 0;
  const refresh = async (instanceIds: readonly string[]) => {
    if (instanceIds.length === 0) {
      counts = new Map();
      return;
    }
    const peers = options.listPeers();
    const answers = await Promise.all(
      peers.map((address) => options.client.fetchWork(address, instanceIds)),
    );
    if (answers.some((answer) => answer.isErr())) {
      counts = new Map();
      return;
    }
    const countsByPeer = answers.map((answer) => answer.unwrapOr([]));
    counts = new Map(
      instanceIds.map((id, index) => {
        const atPeers = countsByPeer.reduce((sum, peerCounts) => sum + (peerCounts[index] ?? 0), 0);
        return [id, atPeers + options.countOwn(id) + countTasks(id)];
      }),
    );
  };
  return { refresh, getCounts: () => counts };
}
