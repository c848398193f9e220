/**
 * Rolling replacement of every entry and upstream while orders run. Callers use a load balancer
 * that polls the entries' readiness. The platform's instance list is updated late, so that entries
 * learn of a leaving upstream first from the upstream itself.
 */
import { Agent } from 'node:http';
import { sendCall, type FaultCall, type FaultResult } from './faults-call.js';
import { waitMs } from '@vanilladock/daemon/lib/servers.js';
import { isReady, type Fleet, type FleetEntry } from './routing-fleet.js';

const CALLERS = 24;
const READY_POLL_MS = 50;
const LIST_LAG_MS = 700;
const SETTLE_MS = 200;
const WORK_MS = ['2', '10', '60'] as const;
const BODY_BYTES = 300;

/** Starts a load balancer over the entries that report themselves ready. */
function startBalancer(fleet: Fleet) {
  let ready: readonly FleetEntry[] = fleet.listEntries();
  let isStopped = false;
  let turn = 0;
  const poll = async () => {
    const entries = fleet.listEntries();
    const states = await Promise.all(entries.map((entry) => isReady(entry.addresses.operators)));
    ready = entries.filter((_, index) => states[index]);
  };
  const runLoop = async () => {
    while (!isStopped) {
      await poll();
      await waitMs(READY_POLL_MS);
    }
  };
  const stopped = runLoop();
  return {
    pickEntry: () => {
      turn += 1;
      return ready[turn % ready.length];
    },
    stop: async () => {
      isStopped = true;
      await stopped;
    },
  };
}

/** Replaces all entries, one at a time. */
async function runEntryReplacements(fleet: Fleet): Promise<void> {
  for (const old of fleet.listEntries()) {
    await fleet.addEntry();
    await waitMs(SETTLE_MS);
    const code = await old.stop('SIGTERM');
    if (code !== 0) throw new Error(`the entry ${old.id} ended with ${code}`);
    fleet.setListed(old.id, 'gone');
    fleet.dropProcess(old.id);
  }
}

/** Replaces all upstreams, one at a time; the instance list is updated with a delay. */
async function runUpstreamReplacements(fleet: Fleet): Promise<void> {
  for (const old of fleet.listUpstreams()) {
    await fleet.addUpstream();
    await waitMs(SETTLE_MS);
    const ended = old.process.stop('SIGTERM');
    setTimeout(() => fleet.setListed(old.id, 'gone'), LIST_LAG_MS);
    await ended;
    await old.proxy?.setRefusing(true);
    await waitMs(LIST_LAG_MS);
    fleet.dropProcess(old.id);
  }
}

/** Sends orders until `isOver` returns true; callers keep their connections alive. */
async function runOrders(fleet: Fleet, isOver: () => boolean): Promise<readonly FaultResult[]> {
  const balancer = startBalancer(fleet);
  const agent = new Agent({ keepAlive: true });
  const results: FaultResult[] = [];
  let sent = 0;
  const runCaller = async () => {
    while (!isOver()) {
      const entry = balancer.pickEntry();
      sent += 1;
      const call: FaultCall = {
        id: `drain-${sent}`,
        method: 'POST',
        headers: { 'stand-in-work-ms': WORK_MS[sent % WORK_MS.length] ?? '2' },
        bodyBytes: BODY_BYTES,
        answerBytes: 0,
        caller: 'usual',
      };
      if (entry === undefined) await waitMs(READY_POLL_MS);
      else results.push(await sendCall(entry.addresses.callers, call, agent));
    }
  };
  await Promise.all(Array.from({ length: CALLERS }, runCaller));
  agent.destroy();
  await balancer.stop();
  return results;
}

/**
 * Replaces all entries and upstreams under load; resolves to the results of all orders sent
 * meanwhile.
 */
export async function runReplacements(fleet: Fleet): Promise<readonly FaultResult[]> {
  let isOver = false;
  const orders = runOrders(fleet, () => isOver);
  const replaced = runEntryReplacements(fleet)
    .then(() => runUpstreamReplacements(fleet))
    .finally(() => {
      isOver = true;
    });
  const results = await orders;
  await replaced;
  return results;
}
