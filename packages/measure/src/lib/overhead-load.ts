/**
 * Load generator of the overhead measurement, run as a process. Its argument is a `LoadPlan` as
 * JSON. It writes a `started` line, runs the plan and writes a `result` line with a `LoadResult`.
 */
import { Agent, request as sendRequest } from 'node:http';
import { build } from 'hdr-histogram-js';

/** Load that one process generates. */
export interface LoadPlan {
  /** URLs without the scheme: `ip:port/path`. */
  readonly targets: readonly string[];
  readonly connections: number;
  readonly durationMs: number;
  /** Length of the requested answers, in bytes; 0 for short JSON. */
  readonly answerBytes: number;
  /**
   * Requests a second; with 0, each connection sends its next request once the previous one is
   * answered.
   */
  readonly perSecond: number;
}

/**
 * Results of one load process, without the requests that were sent during the warm-up or ended after
 * the run. The percentiles are of the answered requests' latencies, in milliseconds.
 */
export interface LoadResult {
  readonly event: 'result';
  readonly answered: number;
  readonly failed: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/** Share of the run that is the warm-up. */
const WARM_UP_SHARE = 0.2;
const US_PER_MS = 1000;
const MS_PER_SECOND = 1000;
const TICK_MS = 1;
const OK_STATUS = 200;

const plan = JSON.parse(process.argv[2] ?? '{}') as LoadPlan;
const agent = new Agent({ keepAlive: true, maxSockets: plan.connections });
const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000 });
const startedAtMs = performance.now();
const countedFromMs = startedAtMs + plan.durationMs * WARM_UP_SHARE;
const endsAtMs = startedAtMs + plan.durationMs;
let answered = 0;
let failed = 0;
let sent = 0;

/** Records one finished request, unless it was sent during warm-up or ended after the run. */
function recordEnd(sentAtMs: number, isGood: boolean): void {
  const nowMs = performance.now();
  if (sentAtMs < countedFromMs || nowMs > endsAtMs) return;
  if (!isGood) {
    failed += 1;
    return;
  }
  answered += 1;
  histogram.recordValue(Math.max(1, Math.round((nowMs - sentAtMs) * US_PER_MS)));
}

/** Sends one request; resolves when it is answered or has failed. */
function sendNextRequest(): Promise<void> {
  sent += 1;
  const sentAtMs = performance.now();
  const headers = {
    'vanilladock-team': 'restaurants',
    'stand-in-answer-bytes': plan.answerBytes,
  };
  const url = `http://${plan.targets[sent % plan.targets.length]}`;
  return new Promise((resolve) => {
    const outgoing = sendRequest(url, { agent, headers }, (answer) => {
      answer.resume();
      answer.once('close', () => {
        recordEnd(sentAtMs, answer.statusCode === OK_STATUS && answer.complete);
        resolve();
      });
    });
    outgoing.on('error', () => {
      recordEnd(sentAtMs, false);
      resolve();
    });
    outgoing.end();
  });
}

/** Sends requests one after another until the run ends. */
async function runCaller(): Promise<void> {
  while (performance.now() < endsAtMs) await sendNextRequest();
}

/** Sends requests at a fixed rate, without waiting for earlier answers. */
function runAtFixedRate(): Promise<void> {
  return new Promise((resolve) => {
    const timer = setInterval(() => {
      const nowMs = performance.now();
      if (nowMs >= endsAtMs) {
        clearInterval(timer);
        resolve();
        return;
      }
      const due = ((nowMs - startedAtMs) * plan.perSecond) / MS_PER_SECOND;
      while (sent < due) void sendNextRequest();
    }, TICK_MS);
  });
}

process.stdout.write(`${JSON.stringify({ event: 'started' })}\n`);
if (plan.perSecond > 0) await runAtFixedRate();
else await Promise.all(Array.from({ length: plan.connections }, runCaller));
const result: LoadResult = {
  event: 'result',
  answered,
  failed,
  p50Ms: histogram.getValueAtPercentile(50) / US_PER_MS,
  p99Ms: histogram.getValueAtPercentile(99) / US_PER_MS,
};
process.stdout.write(`${JSON.stringify(result)}\n`, () => process.exit(0));
