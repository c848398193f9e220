/**
 * The HTTP interface for tasks: `POST /tasks` submits a task under the caller's request id, `GET
 * /tasks/ID` returns its state and may wait for its end, `DELETE /tasks/ID` cancels it. Any entry
 * answers for any task. docs/operators/tasks.md describes the interface for callers.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Failure, FailureCode } from 'vanilladock';
import type { TaskExplanation } from 'vanilladock/lib/placement/explain.js';
import { parseSubmission } from 'vanilladock/lib/placement/submission.js';
import type { TaskSubmission } from 'vanilladock/lib/placement/submission.js';

/**
 * The result of a submission or cancellation: `accepted` only once its record was read back from
 * the log. The verdict of a failure says whether it may have taken effect.
 */
export type TaskAnswer =
  { readonly kind: 'accepted' } | { readonly kind: 'failed'; readonly failure: Failure };

/** What the interface needs from the entry. */
export interface TaskPorts {
  /** Resolves when the record was read back or refused, or when its effect remains unknown. */
  readonly submit: (taskId: string, submission: TaskSubmission) => Promise<TaskAnswer>;
  /** Cancels a task; resolves like `submit`. */
  readonly cancel: (taskId: string) => Promise<TaskAnswer>;
  /** Explains the current state of a task. */
  readonly explain: (taskId: string) => TaskExplanation;
  /** Resolves when the task has ended, at the latest after `waitMs` milliseconds. */
  readonly watch: (taskId: string, waitMs: number) => Promise<TaskExplanation>;
}

/** Handles a request if its path belongs to the interface; returns whether it did. */
export type TasksHandler = (request: IncomingMessage, response: ServerResponse) => boolean;

const TASKS_PATH = /^\/tasks(?:\/([A-Za-z0-9._~-]{1,128}))?(?:\?(.*))?$/;
const TASK_ID = /^[A-Za-z0-9._~-]{1,128}$/;
const REQUEST_ID_HEADER = 'vanilladock-request-id';
const MAX_BODY_BYTES = 65_536;
const MAX_WAIT_MS = 30_000;

/** Reads a body as text; undefined when it is too large. */
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

/** Sends a JSON answer. */
function sendJson(response: ServerResponse, status: number, value: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(value));
}

const STATUS_BY_CODE: Partial<Record<FailureCode, number>> = {
  'bad-request': 400,
  'body-too-large': 413,
  'never-runnable': 422,
  'queue-full': 429,
  'quota-exceeded': 429,
};

const STATUS_UNAVAILABLE = 503;

/** Sends a failure, with its code, verdict and time to retry as headers. */
function sendFailure(response: ServerResponse, failure: Failure): void {
  response.setHeader('vanilladock-code', failure.code);
  response.setHeader('vanilladock-verdict', failure.verdict);
  if (failure.retryAfterMs !== undefined) {
    response.setHeader('retry-after', Math.ceil(failure.retryAfterMs / 1_000));
  }
  sendJson(response, STATUS_BY_CODE[failure.code] ?? STATUS_UNAVAILABLE, failure);
}

/** Refuses a malformed or oversized request. */
function sendRefusal(
  response: ServerResponse,
  message: string,
  code: 'bad-request' | 'body-too-large' = 'bad-request',
): void {
  sendFailure(response, { code, verdict: 'not-run', message });
}

/** Sends the result of a submission or cancellation. */
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

/** Sends the state of a task; the status is 404 for an unknown task. */
function sendExplanation(response: ServerResponse, explanation: TaskExplanation): void {
  sendJson(response, explanation.kind === 'unknown' ? 404 : 200, explanation);
}

/** Creates the handler of the task interface. */
export function createTasksHandler(ports: TaskPorts): TasksHandler {
  const handleSubmission = async (request: IncomingMessage, response: ServerResponse) => {
    const taskId = request.headers[REQUEST_ID_HEADER];
    if (typeof taskId !== 'string' || !TASK_ID.test(taskId)) {
      sendRefusal(response, `Send a header ${REQUEST_ID_HEADER} of up to 128 letters and digits.`);
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
    const requestedMs = Number(new URLSearchParams(query).get('waitMs') ?? 0);
    const waitMs = Number.isFinite(requestedMs)
      ? Math.min(MAX_WAIT_MS, Math.max(0, requestedMs))
      : 0;
    const explanation = waitMs > 0 ? await ports.watch(taskId, waitMs) : ports.explain(taskId);
    sendExplanation(response, explanation);
  };

  const handleTask = async (request: IncomingMessage, response: ServerResponse) => {
    const [, taskId, query = ''] = TASKS_PATH.exec(request.url ?? '') ?? [];
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
    if (!TASKS_PATH.test(request.url ?? '')) return false;
    handleTask(request, response).catch(() => response.destroy());
    return true;
  };
}
