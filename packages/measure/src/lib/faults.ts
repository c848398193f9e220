/**
 * Measurement `faults`: orders and idempotent requests pass through real entries to real upstreams
 * behind fault-injecting proxies. Faults affect single requests, connections, upstreams and
 * entries; then every entry and upstream is replaced under load. Answers are checked against the
 * runs that the upstreams recorded.
 */
import { Agent } from 'node:http';
import { FAULT_NAMES, type FaultName } from '@vanilladock/stand-ins';
import { createRandom, type Random } from 'vanilladock';
import { sendCall, type FaultCall, type FaultResult } from './faults-call.js';
import { runReplacements } from './faults-drain.js';
import { countViolations } from './faults-violations.js';
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

/** Faults that make a request wait until its deadline; such requests get a short deadline. */
const WAITING_FAULTS: ReadonlySet<FaultName> = new Set([
  'swallow-request',
  'swallow-answer',
  'late-answer',
]);
/** Faulty answers that the upstream stand-in can give. */
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

/** A fault that is injected into one request, or none. */
interface FaultCase {
  readonly name: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly caller: FaultCall['caller'];
}

/** Lists the faults of single requests, and as many cases without a fault. */
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

/** Picks a random value. */
function pickValue<T>(values: readonly T[], random: Random): T {
  return values[Math.floor(random() * values.length)] as T;
}

/** Builds the requests of all rounds, in random order. */
function buildCalls(random: Random): readonly FaultCall[] {
  const calls = Array.from({ length: ROUNDS }, (_, round) =>
    listCases().map(({ name, headers, caller }, index): FaultCall => {
      const method = caller === 'cuts-body' ? 'POST' : pickValue(METHODS, random);
      const bodyBytes = caller === 'cuts-body' ? 5000 : pickValue(SIZES, random);
      return {
        id: `${name}-${round}-${index}`,
        method,
        headers: { 'vanilladock-deadline-ms': DEADLINE_MS, ...headers },
        bodyBytes: method === 'GET' ? 0 : bodyBytes,
        answerBytes: pickValue(SIZES, random),
        caller,
      };
    }),
  ).flat();
  return calls
    .map((call) => ({ call, order: random() }))
    .sort((a, b) => a.order - b.order)
    .map(({ call }) => call);
}

/** Sends all calls, at most `CALLERS` at once, each to a random running entry. */
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
      const { addresses } = pickValue(fleet.listEntries(), random);
      results.push(await sendCall(addresses.callers, call, agent));
    }
  };
  await Promise.all(Array.from({ length: CALLERS }, runCaller));
  agent.destroy();
  return results;
}

/**
 * Applies faults to connections, upstreams and entries while requests run; resolves to the faults'
 * names.
 */
async function applyFleetFaults(fleet: Fleet, random: Random): Promise<readonly string[]> {
  const { proxy } = pickValue(fleet.listUpstreams(), random);
  await proxy?.setRefusing(true);
  await waitMs(UPSTREAM_DOWN_MS);
  await proxy?.setRefusing(false);
  fleet.listUpstreams().forEach((upstream) => upstream.proxy?.dropEstablishedTraffic());
  await waitMs(UPSTREAM_DOWN_MS);
  fleet.listUpstreams().forEach((upstream) => upstream.proxy?.resetConnections());
  const killed = pickValue(fleet.listUpstreams(), random);
  fleet.dropProcess(killed.id);
  await killed.process.stop('SIGKILL');
  await fleet.addUpstream();
  await waitMs(UPSTREAM_DOWN_MS);
  fleet.setListed(killed.id, 'gone');
  const entry = pickValue(fleet.listEntries(), random);
  fleet.dropProcess(entry.id);
  await entry.stop('SIGKILL');
  await fleet.addEntry();
  return ['connect-refused', 'established-silent', 'reset-all', 'upstream-killed', 'entry-killed'];
}

/** Counts the kinds of single-request faults that took effect. */
function countAppliedFaults(fleet: Fleet, results: readonly FaultResult[]): number {
  const appliedFaults = new Set<string>();
  fleet.listUpstreams().forEach(({ proxy }) => {
    proxy?.countFaults().forEach((_, name) => appliedFaults.add(name));
  });
  results
    .filter(({ call }) => call.headers['stand-in-answer'] !== undefined || call.caller !== 'usual')
    .forEach(({ call }) => appliedFaults.add(call.headers['stand-in-answer'] ?? call.caller));
  return appliedFaults.size;
}

/** The measurement `faults`. */
export const FAULTS_MEASURE: Measure = {
  name: 'faults',
  describe: 'verdicts and answers under faults and rolling replacement, against recorded runs',
  run: async ({ seed, log }) => {
    const random = createRandom(seed);
    const fleet = await startRoutingFleet({
      entries: ENTRIES,
      upstreams: UPSTREAMS,
      slots: SLOTS,
      hasProxies: true,
      hasRunLogs: true,
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
    const appliedFaults = countAppliedFaults(fleet, [...first, ...second]);
    log('replacing every entry and upstream under load');
    const replaced = await runReplacements(fleet);
    const results = [...first, ...second, ...replaced];
    const counts = countViolations(results, fleet.readRunCounts(), log);
    const cutOnDrain = replaced.filter(
      ({ status, isWhole, isRight }) => status !== 200 || !isWhole || !isRight,
    );
    cutOnDrain.slice(0, 5).forEach((result) => log(`cut on drain: ${JSON.stringify(result)}`));
    const faultFree = first.filter(({ call }) => call.id.startsWith('none'));
    const answeredFaultFree = faultFree.filter(({ status, isRight }) => status === 200 && isRight);
    await fleet.close();
    // Replacing the entries and replacing the upstreams count as one case each.
    return {
      cases: appliedFaults + fleetFaults.length + 2,
      requests: results.length,
      ...counts,
      cut_on_drain: cutOnDrain.length,
      answered_share: answeredFaultFree.length / faultFree.length,
    };
  },
};
