/**
 * Stand-in for callers: sends planned requests to randomly picked entries, honours Retry-After and
 * records the outcome of each call. Each attempt has its own request id, so that the run logs of
 * the upstream stand-ins show which attempts ran.
 */
import { Agent, request as sendRequest } from 'node:http';
import { createRandom, type Random } from 'vanilladock';

/** Calls of one kind, sent at random times within a period. */
export interface CallPlan {
  /** Name under which results are grouped. */
  readonly group: string;
  readonly service: string;
  readonly team: string;
  readonly urgency: string;
  /** Number of calls. */
  readonly calls: number;
  /** Period from the start of the load within which the calls are sent, in milliseconds. */
  readonly spreadMs: number;
  /** Deadline that is sent with each attempt, in milliseconds. */
  readonly deadlineMs: number;
  /**
   * Mean service time in milliseconds; each call takes 0.5 to 1.5 times as long. The upstream's
   * default applies if absent.
   */
  readonly workMs?: number;
}

/** Options of the caller stand-in. */
export interface CallerOptions {
  /** Prefix of the ids of the calls, which makes them unique among several callers. */
  readonly name: string;
  /** Seed of the random times, entries and service times. */
  readonly seed: number;
  /** Addresses on which the entries accept callers, `ip:port`. */
  readonly entries: readonly string[];
  readonly plans: readonly CallPlan[];
  /**
   * Time since the start of the load, at which `runCalls` is called, after which calls are no
   * longer retried, in milliseconds.
   */
  readonly limitMs: number;
}

/**
 * Outcome of a call: answered with 200; refused with the verdict that it did not run; any other or
 * an incomplete answer; or no answer because the connection failed.
 */
export type CallOutcome = 'ok' | 'not-run' | 'may-have-run' | 'no-answer';

/** One call and the outcome of its last attempt. */
export interface CallResult {
  readonly id: string;
  readonly group: string;
  readonly service: string;
  readonly team: string;
  readonly outcome: CallOutcome;
  readonly attempts: number;
  /** From the start of the load to the last answer, in milliseconds. */
  readonly endedAtMs: number;
  /** From the planned time of the first attempt to the last answer, in milliseconds. */
  readonly tookMs: number;
}

interface Answer {
  readonly outcome: CallOutcome;
  readonly retryAfterMs?: number;
}

const MS_PER_SECOND = 1_000;

/** Formats the request id of an attempt, under which the upstream run logs record it. */
export function formatAttemptId(callId: string, attempt: number): string {
  return `${callId}/${attempt}`;
}

/** Waits for a delay in milliseconds; a negative delay counts as 0. */
function waitForDelay(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, Math.max(0, delayMs));
  });
}

/** Sends one attempt and classifies its answer. */
function sendAttempt(
  agent: Agent,
  address: string,
  plan: CallPlan,
  id: string,
  workMs: number | undefined,
): Promise<Answer> {
  const [host, port] = address.split(':');
  const headers = {
    ...(workMs === undefined ? {} : { 'stand-in-work-ms': String(workMs) }),
    'vanilladock-request-id': id,
    'vanilladock-team': plan.team,
    'vanilladock-urgency': plan.urgency,
    'vanilladock-deadline-ms': String(plan.deadlineMs),
  };
  return new Promise((resolve) => {
    const options = { host, port: Number(port), path: `/${plan.service}/order`, method: 'POST' };
    const outgoing = sendRequest({ ...options, headers, agent }, (answer) => {
      const verdict = String(answer.headers['vanilladock-verdict'] ?? '');
      const retryAfterMs = Number(answer.headers['retry-after'] ?? 0) * MS_PER_SECOND;
      answer.on('error', () => resolve({ outcome: 'may-have-run' }));
      answer.on('end', () => {
        if (answer.statusCode === 200) resolve({ outcome: 'ok' });
        else if (verdict === 'not-run') resolve({ outcome: 'not-run', retryAfterMs });
        else resolve({ outcome: 'may-have-run' });
      });
      answer.resume();
    });
    outgoing.on('error', () => resolve({ outcome: 'no-answer' }));
    outgoing.end();
  });
}

/**
 * Sends the planned calls and resolves to their results. A call that did not run is sent again
 * after the `Retry-After` of its answer, until `limitMs`.
 */
export async function runCalls(options: CallerOptions): Promise<readonly CallResult[]> {
  const random: Random = createRandom(options.seed);
  const agent = new Agent({ keepAlive: true });
  const startedAtMs = performance.now();
  const getElapsedMs = () => performance.now() - startedAtMs;
  const pickEntry = () => options.entries[Math.floor(random() * options.entries.length)] ?? '';

  const runCall = async (plan: CallPlan, id: string, plannedAtMs: number): Promise<CallResult> => {
    await waitForDelay(plannedAtMs - getElapsedMs());
    const workMs = plan.workMs === undefined ? undefined : plan.workMs * (0.5 + random());
    let answer: Answer = { outcome: 'no-answer' };
    let attempts = 0;
    do {
      if (attempts > 0) await waitForDelay(answer.retryAfterMs ?? 0);
      attempts += 1;
      const attemptId = formatAttemptId(id, attempts);
      answer = await sendAttempt(agent, pickEntry(), plan, attemptId, workMs);
    } while (
      answer.outcome === 'not-run' &&
      getElapsedMs() + (answer.retryAfterMs ?? 0) < options.limitMs
    );
    const endedAtMs = getElapsedMs();
    const { group, service, team } = plan;
    const { outcome } = answer;
    return {
      id,
      group,
      service,
      team,
      outcome,
      attempts,
      endedAtMs,
      tookMs: endedAtMs - plannedAtMs,
    };
  };
  const calls = options.plans.flatMap((plan, index) =>
    Array.from({ length: plan.calls }, (_, callNumber) =>
      runCall(plan, `${options.name}-${index}-${callNumber}`, random() * plan.spreadMs),
    ),
  );
  const results = await Promise.all(calls);
  agent.destroy();
  return results;
}
