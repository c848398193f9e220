/**
 * Stand-in for callers: sends planned requests to the entries in turn, obeys Retry-After, and keeps
 * for each call what became of it. Each attempt has an id of its own, so that the ledgers of the
 * upstream stand-ins show which attempts ran.
 */
import { Agent, request as sendRequest } from 'node:http';
import { createRandom, type Random } from 'vanilladock';

/** Calls of one kind, spread over a time at random. */
export interface CallPlan {
  /** Name under which the calls are counted. */
  readonly group: string;
  readonly service: string;
  readonly team: string;
  readonly urgency: string;
  readonly calls: number;
  /** Time over which the calls are spread, from the start, in milliseconds. */
  readonly spreadMs: number;
  readonly deadlineMs: number;
  /** Mean service time; calls take between half and one and a half of it. The upstream's own if absent. */
  readonly workMs?: number;
}

/** What a caller process is started with. */
export interface CallerOptions {
  readonly name: string;
  readonly seed: number;
  /** Callers' addresses of the entries, `ip:port`. */
  readonly entries: readonly string[];
  readonly plans: readonly CallPlan[];
  /** Calls that still wait for an answer are given up after this time, in milliseconds. */
  readonly limitMs: number;
}

/** What became of a call. */
export type CallOutcome = 'ok' | 'not-run' | 'may-have-run' | 'no-answer';

/** One call and its last answer. */
export interface CallResult {
  readonly id: string;
  readonly group: string;
  readonly service: string;
  readonly team: string;
  readonly outcome: CallOutcome;
  readonly attempts: number;
  /** From the start of the load to the last answer, in milliseconds. */
  readonly endedAtMs: number;
  /** From the first attempt to the last answer, in milliseconds. */
  readonly tookMs: number;
}

interface Answer {
  readonly outcome: CallOutcome;
  readonly retryAfterMs?: number;
}

const MS_PER_SECOND = 1_000;

/** Names one attempt of a call; upstream ledgers hold these names. */
export function formatAttemptId(callId: string, attempt: number): string {
  return `${callId}/${attempt}`;
}

/** Waits on the runtime's clock. */
function waitMs(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, Math.max(0, delayMs));
  });
}

/** Sends one attempt and reads its answer. */
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
      const retryAfter = Number(answer.headers['retry-after'] ?? 0) * MS_PER_SECOND;
      answer.on('error', () => resolve({ outcome: 'may-have-run' }));
      answer.on('end', () => {
        if (answer.statusCode === 200) resolve({ outcome: 'ok' });
        else if (verdict === 'not-run') resolve({ outcome: 'not-run', retryAfterMs: retryAfter });
        else resolve({ outcome: 'may-have-run' });
      });
      answer.resume();
    });
    outgoing.on('error', () => resolve({ outcome: 'no-answer' }));
    outgoing.end();
  });
}

/** Runs the planned calls to their end or to the time limit. */
export async function runCalls(options: CallerOptions): Promise<readonly CallResult[]> {
  const random: Random = createRandom(options.seed);
  const agent = new Agent({ keepAlive: true });
  const startedAtMs = performance.now();
  const getElapsedMs = () => performance.now() - startedAtMs;
  const pickEntry = () => options.entries[Math.floor(random() * options.entries.length)] ?? '';

  const runCall = async (plan: CallPlan, id: string, atMs: number): Promise<CallResult> => {
    await waitMs(atMs - getElapsedMs());
    const workMs = plan.workMs === undefined ? undefined : plan.workMs * (0.5 + random());
    let answer: Answer = { outcome: 'no-answer' };
    let attempts = 0;
    do {
      if (attempts > 0) await waitMs(answer.retryAfterMs ?? 0);
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
    return { id, group, service, team, outcome, attempts, endedAtMs, tookMs: endedAtMs - atMs };
  };
  const calls = options.plans.flatMap((plan, index) =>
    Array.from({ length: plan.calls }, (_, number) =>
      runCall(plan, `${options.name}-${index}-${number}`, random() * plan.spreadMs),
    ),
  );
  const results = await Promise.all(calls);
  agent.destroy();
  return results;
}
