/**
 * The HTTP interface for tasks: `POST /tasks` submits under the caller's request id, `GET /tasks/ID`
 * tells where a task stands and may wait for its end, `DELETE /tasks/ID` cancels it. Any entry answers
 * for any task. docs/operators/tasks.md describes it for callers.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Failure, FailureCode } from 'vanilladock';
import type { TaskExplanation } from 'vanilladock/lib/placement/explain.js';
import { parseSubmission } from 'vanilladock/lib/placement/submission.js';
import type { TaskSubmission } from 'vanilladock/lib/placement/submission.js';

/** What became of a submission or cancellation. */
export type TaskAnswer =
  { readonly kind: 'accepted' } | { readonly kind: 'failed'; readonly failure: Failure };

/** What the interface needs from the entry. */
export interface TaskPorts {
  /** Resolves when the record was read back, refused, or its effect stays unknown. */
  readonly submit: (taskId: string, submission: TaskSubmission) => Promise<TaskAnswer>;
  readonly cancel: (taskId: string) => Promise<TaskAnswer>;
  readonly explain: (taskId: string) => TaskExplanation;
  /** Resolves when the task has ended, or after a time in milliseconds. */
  readonly watch: (taskId: string, waitMs: number) => Promise<TaskExplanation>;
}

/** Handles a request when its path is one of the interface's; says whether it did. */
export type TasksHandler = (request: IncomingMessage, response: ServerResponse) => boolean;

const PATH = /^\/tasks(?:\/([A-Za-z0-9._~-]{1,128}))?(?:\?(.*))?$/;
const TASK_ID = /^[A-Za-z0-9._~-]{1,128}$/;
const REQUEST_ID = 'vanilladock-request-id';
const MAX_BODY_BYTES = 65_536;
const MAX_WAIT_MS = 30_000;

/** Reads a body; undefined when it is too large. */
async function readBody(request: IncomingMessage): Promise<string | undefined> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    bytes += chunk.length;
    if (bytes > MAX_BODY_BYTES) return undefined;
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}

/** Answers with JSON. */
function sendJson(response: ServerResponse, status: number, value: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(value));
}

const STATUSES: Partial<Record<FailureCode, number>> = {
  'bad-request': 400,
  'body-too-large': 413,
  'never-runnable': 422,
  'queue-full': 429,
  'quota-exceeded': 429,
};

const UNAVAILABLE = 503;

/** Tells a caller of a failure, with its verdict and the time to come back. */
function sendFailure(response: ServerResponse, failure: Failure): void {
  response.setHeader('vanilladock-code', failure.code);
  response.setHeader('vanilladock-verdict', failure.verdict);
  if (failure.retryAfterMs !== undefined) {
    response.setHeader('retry-after', Math.ceil(failure.retryAfterMs / 1_000));
  }
  sendJson(response, STATUSES[failure.code] ?? UNAVAILABLE, failure);
}

/** Refuses a request that cannot be understood. */
function sendRefusal(
  response: ServerResponse,
  message: string,
  code: 'bad-request' | 'body-too-large' = 'bad-request',
): void {
  sendFailure(response, { code, verdict: 'not-run', message });
}

/** Answers what became of a submission or cancellation. */
function sendAnswer(response: ServerResponse, taskId: string, answer: TaskAnswer): void {
  switch (answer.kind) {
    case 'accepted':
      sendJson(response, 202, { taskId });
      return;
    case 'failed':
      sendFailure(response, answer.failure);
      return;
    default:
      answer satisfies never;
  }
}

/** Answers where a task stands. */
function sendExplanation(response: ServerResponse, told: TaskExplanation): void {
  sendJson(response, told.kind === 'unknown' ? 404 : 200, told);
}

/** Creates the handler of the interface. */
export function createTasksHandler(ports: TaskPorts): TasksHandler {
  const handleSubmission = async (request: IncomingMessage, response: ServerResponse) => {
    const taskId = request.headers[REQUEST_ID];
    if (typeof taskId !== 'string' || !TASK_ID.test(taskId)) {
      sendRefusal(response, `Send a header ${REQUEST_ID} of up to 128 letters and digits.`);
      return;
    }
    const body = await readBody(request);
    if (body === undefined) {
      response.setHeader('connection', 'close');
      sendRefusal(response, `Send at most ${MAX_BODY_BYTES} bytes.`, 'body-too-large');
      return;
    }
    const parsed = parseSubmission(body);
    if (parsed.isErr()) sendRefusal(response, parsed.error);
    else sendAnswer(response, taskId, await ports.submit(taskId, parsed.value));
  };

  const handleWatch = async (response: ServerResponse, taskId: string, query: string) => {
    const wanted = Number(new URLSearchParams(query).get('waitMs') ?? 0);
    const waitMs = Number.isFinite(wanted) ? Math.min(MAX_WAIT_MS, Math.max(0, wanted)) : 0;
    const told = waitMs > 0 ? await ports.watch(taskId, waitMs) : ports.explain(taskId);
    sendExplanation(response, told);
  };

  const handleTask = async (request: IncomingMessage, response: ServerResponse) => {
    const [, taskId, query = ''] = PATH.exec(request.url ?? '') ?? [];
    if (taskId === undefined && request.method === 'POST') {
      await handleSubmission(request, response);
    } else if (taskId !== undefined && request.method === 'GET') {
      await handleWatch(response, taskId, query);
    } else if (taskId !== undefined && request.method === 'DELETE') {
      sendAnswer(response, taskId, await ports.cancel(taskId));
    } else {
      response.setHeader('allow', taskId === undefined ? 'POST' : 'GET, DELETE');
      sendJson(response, 405, { message: 'Use POST /tasks, GET /tasks/ID or DELETE /tasks/ID.' });
    }
  };

  return (request, response) => {
    if (!PATH.test(request.url ?? '')) return false;
    handleTask(request, response).catch(() => response.destroy());
    return true;
  };
}
