/**
 * Measurement `config`: the time until an accepted configuration is in force on all of several real
 * entries, with concurrent operators, lost answers, a log that becomes unavailable right after the
 * acceptance, and replacement of the entries, finally of all at once after the log has dropped the
 * publication. The baseline entries only read the log and don't exchange publications with peers.
 */
import { readFileSync } from 'node:fs';
import { publishConfig, type PublishAnswer } from '@vanilladock/daemon/lib/cli/publish.js';
import { readFleet } from '@vanilladock/daemon/lib/log-reader.js';
import { createRecordOffer } from '@vanilladock/daemon/lib/peers/offer-records.js';
import { createLogClient } from '@vanilladock/daemon/lib/platform/log-client.js';
import { startInstanceServer, startLogServer, type LogServer } from '@vanilladock/stand-ins';
import { build as buildHistogram } from 'hdr-histogram-js';
import { createFleetState, createRandom, type FleetState, type Random } from 'vanilladock';
import { startConfigFleet, type ConfigFleet } from './config-fleet.js';
import { checkAnswers, type JudgedAnswer } from './config-oracle.js';
import type { Figures, Measure, MeasureOptions } from './measure.js';
import { MEASURE_KEY } from './processes.js';

const CONFIG_URL = new URL('../../../../examples/smokehouse.yaml', import.meta.url);
const ENTRIES = 8;
const BASELINE_ENTRIES = 2;
const OPERATORS = 4;
const RACES = 20;
const LOST_ANSWER_SHARE = 0.25;
const OUTAGES = 4;
const BASELINE_OUTAGE_MS = 1_000;
const IN_FORCE_TIMEOUT_MS = 15_000;
const MAX_KEPT_RECORDS = 60;
const FILLER_RECORDS = 45;
const SNAPSHOT_TIMEOUT_MS = 20_000;
const POLL_MS = 50;

/** What all parts of the measurement share. */
interface Bench {
  readonly logServer: LogServer;
  readonly fleet: ConfigFleet;
  readonly baseline: ConfigFleet;
  readonly random: Random;
  readonly answers: JudgedAnswer[];
  /** The fleet state that operators have read from the log before they publish. */
  readonly known: { state: FleetState };
  readonly log: MeasureOptions['log'];
}

/** An accepted publication; times are monotonic. */
interface Accepted {
  /** Offset of its record in the log, which is also the version that it creates. */
  readonly offset: number;
  readonly sentAtMs: number;
  readonly answeredAtMs: number;
}

const template = readFileSync(CONFIG_URL, 'utf8');

/** Makes a valid configuration text with a random quota. */
function makeText(random: Random): string {
  const quota = 100 + Math.floor(random() * 900);
  return template.replace('quotaPerSecond: 500', `quotaPerSecond: ${quota}`);
}

/**
 * Publishes a configuration under a new operator's name and records the answer; with `isOffering`,
 * also offers the publication directly to the entries.
 */
async function publishAs(
  bench: Bench,
  known: FleetState,
  isOffering: boolean,
): Promise<PublishAnswer> {
  const by = `operator-${bench.answers.length}-${Math.floor(bench.random() * 1e9)}`;
  const service = createLogClient(bench.logServer.address);
  const offer = isOffering ? createRecordOffer(MEASURE_KEY, bench.fleet.listPeers) : undefined;
  const base = known.config.version;
  const publication = { text: makeText(bench.random), base, by, known };
  const answer = await publishConfig(service, publication, offer);
  bench.answers.push({ by, answer });
  return answer;
}

/** Reads the log from the known state to its end. */
async function readKnown(bench: Bench): Promise<FleetState> {
  const read = await readFleet(createLogClient(bench.logServer.address), bench.known.state);
  bench.known.state = read.unwrap();
  return bench.known.state;
}

/** Lets operators publish concurrently on the same base; resolves to the accepted publication. */
async function runRace(bench: Bench, operators: number, isOffering: boolean): Promise<Accepted> {
  const known = await readKnown(bench);
  const sentAtMs = performance.now();
  const answers = await Promise.all(
    Array.from({ length: operators }, () => publishAs(bench, known, isOffering)),
  );
  const winner = answers.find(({ kind }) => kind === 'accepted');
  if (winner?.kind !== 'accepted')
    throw new Error(`no publication was accepted: ${JSON.stringify(answers)}`);
  return { offset: winner.offset, sentAtMs, answeredAtMs: performance.now() };
}

/**
 * Runs races, some with lost answers; resolves to the times from sending until the publication is
 * in force on all entries, in milliseconds.
 */
async function measureRaces(bench: Bench): Promise<readonly number[]> {
  const times: number[] = [];
  for (let race = 0; race < RACES; race += 1) {
    bench.logServer.setFaults({ losesAnswers: bench.random() < LOST_ANSWER_SHARE });
    const { offset, sentAtMs } = await runRace(bench, OPERATORS, race % 2 === 0);
    times.push((await bench.fleet.waitForVersion(offset, IN_FORCE_TIMEOUT_MS)) - sentAtMs);
  }
  bench.logServer.setFaults({ losesAnswers: false });
  return times;
}

/**
 * Makes the log unavailable right after an acceptance; resolves to the times from then until the
 * publication is in force on all entries, in milliseconds. In alternate outages, either only the
 * operator knows the publication and offers it to the entries, or it offers nothing and the log has
 * answered a few readers: one more than there are baseline entries, so that at least one entry of
 * the fleet is among them.
 */
async function measureOutages(bench: Bench) {
  const times: number[] = [];
  const baseline: number[] = [];
  for (let outage = 0; outage < OUTAGES; outage += 1) {
    const isOffering = outage % 2 === 0;
    bench.logServer.setFaults({ readersServed: isOffering ? 0 : BASELINE_ENTRIES + 1 });
    const { offset, answeredAtMs } = await runRace(bench, 1, isOffering);
    bench.logServer.setFaults({ isDown: true, readersServed: Infinity });
    const downAtMs = performance.now();
    times.push((await bench.fleet.waitForVersion(offset, IN_FORCE_TIMEOUT_MS)) - answeredAtMs);
    const remainingMs = BASELINE_OUTAGE_MS - (performance.now() - downAtMs);
    await new Promise((resolve) => {
      setTimeout(resolve, Math.max(0, remainingMs));
    });
    bench.logServer.setFaults({ isDown: false });
    baseline.push(
      (await bench.baseline.waitForVersion(offset, IN_FORCE_TIMEOUT_MS)) - answeredAtMs,
    );
    bench.log(`outage ${outage + 1} of ${OUTAGES}: ${Math.round(times.at(-1) ?? 0)} ms`);
  }
  return { times, baseline };
}

/** Replaces every entry, one after another, half of them while the log is unavailable. */
async function runReplacements(bench: Bench): Promise<void> {
  for (let index = 0; index < ENTRIES; index += 1) {
    const isDown = index % 2 === 1;
    const accepted = await runRace(bench, 2, true);
    bench.logServer.setFaults({ isDown });
    await bench.fleet.replaceEntry(index, index === 1 || index === 2 ? 'SIGKILL' : 'SIGTERM');
    await bench.fleet.waitForVersion(accepted.offset, IN_FORCE_TIMEOUT_MS);
    bench.logServer.setFaults({ isDown: false });
  }
}

/**
 * Waits until the log's kept records contain a snapshot through offset `after`; resolves to whether
 * they do.
 */
async function waitForSnapshot(bench: Bench, after: number): Promise<boolean> {
  const endMs = performance.now() + SNAPSHOT_TIMEOUT_MS;
  const hasSnapshot = () =>
    bench.logServer
      .listTexts()
      .slice(-MAX_KEPT_RECORDS)
      .some((text) => {
        const record = JSON.parse(text) as { kind: string; throughOffset?: number };
        return record.kind === 'log.snapshot' && (record.throughOffset ?? -1) >= after;
      });
  while (!hasSnapshot() && performance.now() < endMs) {
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MS);
    });
  }
  return hasSnapshot();
}

/** Lets the log drop every publication, then kills all entries at once and starts new ones. */
async function runFullReplacement(bench: Bench): Promise<void> {
  const { logServer } = bench;
  const end = logServer.listAllTexts().length;
  const service = createLogClient(logServer.address);
  const appendFiller = () =>
    service.append(Array.from({ length: FILLER_RECORDS }, () => '{"kind":"filler"}'));
  logServer.setFaults({ keep: MAX_KEPT_RECORDS });
  await appendFiller();
  const isWritten = await waitForSnapshot(bench, end - 1);
  await appendFiller();
  const isDropped = logServer.getFirstOffset() > end;
  bench.log(`new snapshot: ${isWritten}, publications dropped: ${isDropped}`);
  await bench.fleet.replaceAll();
}

/** Computes the 99th percentile, in milliseconds; an infinite time counts as the time limit. */
function computeP99(times: readonly number[]): number {
  const histogram = buildHistogram();
  times.forEach((time) =>
    histogram.recordValue(Number.isFinite(time) ? time : IN_FORCE_TIMEOUT_MS),
  );
  return histogram.getValueAtPercentile(99);
}

/** Computes the longest time, in milliseconds; an infinite one counts as the time limit. */
function computeMax(times: readonly number[]): number {
  return Math.round(Math.min(IN_FORCE_TIMEOUT_MS, Math.max(...times)));
}

/** Runs all parts of the measurement and computes the figures. */
async function runParts(bench: Bench): Promise<Figures> {
  const races = await measureRaces(bench);
  bench.log(`${RACES} races: p99 ${computeP99(races)} ms`);
  const outages = await measureOutages(bench);
  await runReplacements(bench);
  bench.log('all entries replaced in turn');
  await runFullReplacement(bench);
  const judgement = checkAnswers(bench.logServer.listAllTexts(), bench.answers);
  const restoredAtMs = await bench.fleet.waitForVersion(judgement.version, IN_FORCE_TIMEOUT_MS);
  const outdatedVersions = bench.fleet
    .listVersions()
    .filter((version) => version !== judgement.version);
  return {
    in_force_p99_ms: computeP99(races),
    in_force_max_outage_ms: computeMax(outages.times),
    baseline_in_force_max_outage_ms: computeMax(outages.baseline),
    reverts: bench.fleet.countReverts(),
    lost: judgement.lost + outdatedVersions.length + (Number.isFinite(restoredAtMs) ? 0 : 1),
    false_answers: judgement.falseAnswers,
    publications: bench.answers.length,
    unknown_answers: bench.answers.filter(({ answer }) => answer.kind === 'unknown').length,
  };
}

/** Starts the log, the instance list and both fleets, runs all parts and stops everything. */
async function runConfig({ seed, log }: MeasureOptions): Promise<Figures> {
  const logServer = await startLogServer();
  const instances = await startInstanceServer();
  const platform = { log: logServer.address, instances: instances.address };
  const fleet = await startConfigFleet(ENTRIES, platform, instances);
  const baseline = await startConfigFleet(BASELINE_ENTRIES, platform, undefined);
  const random = createRandom(seed);
  const known = { state: createFleetState() };
  const bench = { logServer, fleet, baseline, random, answers: [], known, log };
  return runParts(bench).finally(async () => {
    await Promise.all([fleet.stop(), baseline.stop()]);
    await Promise.all([logServer.close(), instances.close()]);
  });
}

/** The measurement `config`. */
export const CONFIG_MEASURE: Measure = {
  name: 'config',
  describe:
    'publishing with concurrent operators, log outages and replaced entries, on real daemons',
  run: runConfig,
};
