/**
 * The measurement of faults: orders and idempotent requests through real entries to real upstreams
 * behind fault-injecting proxies. Faults strike single requests, connections, upstreams and entries;
 * then every entry and upstream is replaced under load. The upstreams' ledgers are the truth.
 */
import { Agent } from 'node:http';
import { FAULT_NAMES, type FaultName } from '@vanilladock/stand-ins';
import { createRandom, type Random } from 'vanilladock';
import { sendCall, type FaultCall, type FaultResult } from './faults-call.js';
import { runReplacements } from './faults-drain.js';
import { countFaultCounts } from './faults-judge.js';
import type { Measure } from './measure.js';
import { waitMs } from '@vanilladock/daemon/lib/servers.js';
import { startRoutingFleet, type Fleet } from './routing-fleet.js';

const ENTRIES = 3;
const UPSTREAMS = 4;
const SLOTS = 64;
const CALLERS = 96;
const ROUNDS = 110;
const SHORT_DEADLINE_MS = '400';
const DEADLINE_MS = '3000';
const UPSTREAM_DOWN_MS = 300;

/** Faults in which a request waits for its deadline. */
const WAITING_FAULTS: ReadonlySet<FaultName> = new Set([
  'swallow-request',
  'swallow-answer',
  'late-answer',
]);
/** Kinds of answers of the upstream stand-in that are faults. */
const FAULTY_ANSWERS = [
  'die',
  'error',
  'refuse',
  'cut-chunked',
  'short',
  'unframed',
  'other-id',
  'close',
] as const;
const METHODS = ['POST', 'POST', 'PUT', 'GET'] as const;
const SIZES = [0, 0, 700, 40_000, 150_000] as const;

/** A fault as it is put into one request. */
interface FaultCase {
  readonly name: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly caller: FaultCall['caller'];
}

/** Lists the faults that strike single requests, and as many requests without one. */
function listCases(): readonly FaultCase[] {
  const proxied = FAULT_NAMES.flatMap((fault): FaultCase[] => {
    const deadline = WAITING_FAULTS.has(fault) ? SHORT_DEADLINE_MS : DEADLINE_MS;
    return ['', '*'].map((times) => ({
      name: fault,
      headers: { 'stand-in-fault': `${fault}${times}`, 'vanilladock-deadline-ms': deadline },
      caller: 'usual',
    }));
  });
  const answered = FAULTY_ANSWERS.map((kind): FaultCase => ({
    name: kind,
    headers: { 'stand-in-answer': kind },
    caller: 'usual',
  }));
  const callers = (['leaves', 'cuts-body'] as const).map((caller): FaultCase => ({
    name: caller,
    headers: { 'stand-in-work-ms': '20' },
    caller,
  }));
  const faulty = [...proxied, ...answered, ...callers];
  const plain = faulty.map((): FaultCase => ({ name: 'none', headers: {}, caller: 'usual' }));
  return [...faulty, ...plain];
}

/** Picks one of several values. */
function pick<T>(values: readonly T[], random: Random): T {
  return values[Math.floor(random() * values.length)] as T;
}

/** Builds the requests of all rounds in a shuffled order. */
function buildCalls(random: Random): readonly FaultCall[] {
  const calls = Array.from({ length: ROUNDS }, (_, round) =>
    listCases().map(({ name, headers, caller }, index): FaultCall => {
      const method = caller === 'cuts-body' ? 'POST' : pick(METHODS, random);
      const bodyBytes = caller === 'cuts-body' ? 5000 : pick(SIZES, random);
      return {
        id: `${name}-${round}-${index}`,
        method,
        headers: { 'vanilladock-deadline-ms': DEADLINE_MS, ...headers },
        bodyBytes: method === 'GET' ? 0 : bodyBytes,
        answerBytes: pick(SIZES, random),
        caller,
      };
    }),
  ).flat();
  return calls
    .map((call) => ({ call, order: random() }))
    .sort((a, b) => a.order - b.order)
    .map(({ call }) => call);
}

/** Sends all calls, a bounded number at once, each to a random live entry. */
async function sendCalls(
  calls: readonly FaultCall[],
  fleet: Fleet,
  random: Random,
): Promise<readonly FaultResult[]> {
  const agent = new Agent({ keepAlive: true });
  const pending = [...calls];
  const results: FaultResult[] = [];
  const runCaller = async () => {
    for (let call = pending.pop(); call !== undefined; call = pending.pop()) {
      const { addresses } = pick(fleet.listEntries(), random);
      results.push(await sendCall(addresses.callers, call, agent));
    }
  };
  await Promise.all(Array.from({ length: CALLERS }, runCaller));
  agent.destroy();
  return results;
}

/** Faults of whole connections, upstreams and entries while requests run; resolves to their names. */
async function applyFleetFaults(fleet: Fleet, random: Random): Promise<readonly string[]> {
  const { proxy } = pick(fleet.listUpstreams(), random);
  await proxy?.setRefusing(true);
  await waitMs(UPSTREAM_DOWN_MS);
  await proxy?.setRefusing(false);
  fleet.listUpstreams().forEach((one) => one.proxy?.setEstablishedSilent());
  await waitMs(UPSTREAM_DOWN_MS);
  fleet.listUpstreams().forEach((one) => one.proxy?.resetAll());
  const killed = pick(fleet.listUpstreams(), random);
  fleet.dropProcess(killed.id);
  await killed.process.stop('SIGKILL');
  await fleet.addUpstream();
  await waitMs(UPSTREAM_DOWN_MS);
  fleet.setListed(killed.id, 'gone');
  const entry = pick(fleet.listEntries(), random);
  fleet.dropProcess(entry.id);
  await entry.stop('SIGKILL');
  await fleet.addEntry();
  return ['connect-refused', 'established-silent', 'reset-all', 'upstream-killed', 'entry-killed'];
}

/** Counts the kinds of faults of single requests that were in force. */
function countStruck(fleet: Fleet, results: readonly FaultResult[]): number {
  const struck = new Set<string>();
  fleet.listUpstreams().forEach(({ proxy }) => {
    proxy?.countFaults().forEach((_, name) => struck.add(name));
  });
  results
    .filter(({ call }) => call.headers['stand-in-answer'] !== undefined || call.caller !== 'usual')
    .forEach(({ call }) => struck.add(call.headers['stand-in-answer'] ?? call.caller));
  return struck.size;
}

/** Faults on the way, judged by the upstreams' own ledgers. */
export const FAULTS_MEASURE: Measure = {
  name: 'faults',
  describe: 'verdicts and answers under faults and rolling replacement, against ledgers',
  run: async ({ seed, log }) => {
    const random = createRandom(seed);
    const fleet = await startRoutingFleet({
      entries: ENTRIES,
      upstreams: UPSTREAMS,
      slots: SLOTS,
      hasProxies: true,
      hasLedgers: true,
    });
    const calls = buildCalls(random);
    const half = Math.floor(calls.length / 2);
    log(`sending ${half} requests with faults of single requests`);
    const first = await sendCalls(calls.slice(0, half), fleet, random);
    log(`sending ${calls.length - half} requests while connections and processes fail`);
    const [second, fleetFaults] = await Promise.all([
      sendCalls(calls.slice(half), fleet, random),
      applyFleetFaults(fleet, random),
    ]);
    const struck = countStruck(fleet, [...first, ...second]);
    log('replacing every entry and upstream under load');
    const replaced = await runReplacements(fleet);
    const results = [...first, ...second, ...replaced];
    const counts = countFaultCounts(results, fleet.readLedger(), log);
    const cut = replaced.filter(
      ({ status, isWhole, isRight }) => status !== 200 || !isWhole || !isRight,
    );
    cut.slice(0, 5).forEach((one) => log(`cut on drain: ${JSON.stringify(one)}`));
    const plain = first.filter(({ call }) => call.id.startsWith('none'));
    const plainOk = plain.filter(({ status, isRight }) => status === 200 && isRight);
    await fleet.close();
    return {
      cases: struck + fleetFaults.length + 2,
      requests: results.length,
      ...counts,
      cut_on_drain: cut.length,
      answered_share: plainOk.length / plain.length,
    };
  },
};
