/**
 * The request path as a pipeline of filters: classify, admit, choose an upstream, forward, respond.
 * Logs one line for each routing decision.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  chooseUpstream,
  decideDrainingRequest,
  type Admission,
  type Config,
  type Failure,
  type Random,
} from 'vanilladock';
import type { JsonLog } from '../json-log.js';
import type { Observation, UpstreamCandidate } from '../upstream-table.js';
import { sendFailure } from './failure-response.js';
import { classifyRequest } from './classify.js';
import type { RequestContext } from './context.js';
import type { Drain } from './drain.js';
import type { Forwarder, ForwardResult } from './forward.js';
import { createGuard, makeStopFailure, type Guard } from './guard.js';
import { buildRequestHeaders } from './headers.js';
import { createRequestBody, type RequestBody } from './request-body.js';
import { addAttempt, createRetryFilter, type AttemptCounts } from './retry.js';

/** What the request path needs from the daemon. */
export interface RequestPorts {
  /** Gets the configuration in force; undefined before the first, when requests are refused. */
  readonly getConfig: () => Config | undefined;
  /** Lists the upstreams of a service that accept work. */
  readonly listCandidates: (service: string) => readonly UpstreamCandidate[];
  /** Called before each attempt at an upstream. */
  readonly observeStart: (upstreamId: string) => void;
  /** Called after each attempt, with what it has shown of the upstream. */
  readonly observeEnd: (upstreamId: string, observation: Observation) => void;
  readonly admission: Admission;
  /** Whether a service sheds load for lack of capacity; its requests are not retried meanwhile. */
  readonly isShedding?: (service: string) => boolean;
  /**
   * The drain of this entry. While it lasts, responses ask callers to reconnect elsewhere, and
   * requests that cannot be answered before its end are refused.
   */
  readonly drain: Drain;
  readonly forward: Forwarder;
  readonly random: Random;
  readonly log: JsonLog;
}

/** A classified request on its way through the filters. */
interface RoutedRequest {
  readonly context: RequestContext;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly body: RequestBody;
  readonly guard: Guard;
}

const NOT_READY: Failure = {
  code: 'not-ready',
  verdict: 'not-run',
  message: 'This entry knows no configuration yet; try another one.',
  retryAfterMs: 1000,
};

const NO_UPSTREAM: Failure = {
  code: 'no-upstream',
  verdict: 'not-run',
  message: 'The service has no upstream that takes work; try again later.',
  retryAfterMs: 1000,
};

/** Merges the failures of two attempts: a request that may have run keeps that verdict. */
function mergeFailures(earlier: Failure | undefined, later: Failure): Failure {
  return earlier?.verdict === 'may-have-run' && later.verdict === 'not-run' ? earlier : later;
}

/**
 * Creates the handler of callers' requests; its promise resolves when the request has ended, with
 * its response or failure sent.
 */
export function createRequestHandler(ports: RequestPorts) {
  const isDraining = () => ports.drain.getPlan() !== undefined;
  const retries = createRetryFilter(ports.isShedding ?? (() => false));

  /** Gives the refusal of a request that must not be sent any more because of the drain. */
  const refuseDraining = ({ deadlineAtMs }: RequestContext): Failure | undefined => {
    const decision = decideDrainingRequest(ports.drain.getPlan(), deadlineAtMs, performance.now());
    return decision.kind === 'refuse' ? decision.failure : undefined;
  };
  const chooseUntried = (service: string, triedIds: ReadonlySet<string>) => {
    const candidates = ports.listCandidates(service);
    const untried =
      triedIds.size === 0 ? candidates : candidates.filter(({ id }) => !triedIds.has(id));
    return chooseUpstream(untried.length === 0 ? candidates : untried, ports.random);
  };
  const sendOnce = async (
    routed: RoutedRequest,
    upstream: UpstreamCandidate,
  ): Promise<ForwardResult> => {
    const { context, request, response, body, guard } = routed;
    const { id, service } = context;
    ports.observeStart(upstream.id);
    const result = await ports.forward.send({
      head: {
        id,
        method: request.method ?? 'GET',
        path: context.path,
        headers: buildRequestHeaders(request, id, body.length),
      },
      isIdempotent: context.isIdempotent,
      address: upstream.address,
      usualMs: upstream.usualMs,
      body,
      response,
      guard,
      isClosing: isDraining,
      takeRetry: () => retries.takeRetry(service, context.values.retryBudgetShare),
      handleSilent: () =>
        ports.log.warn({ event: 'connection-silent', id, service, upstream: upstream.id }),
    });
    ports.observeEnd(upstream.id, result.observation);
    return result;
  };
  const sendWithRetries = async (routed: RoutedRequest): Promise<Failure | undefined> => {
    const { context, response, body, guard } = routed;
    const { id, service, team } = context;
    const triedIds = new Set<string>();
    let failure: Failure | undefined;
    let counts: AttemptCounts = { attempts: 0, breaks: 0 };
    for (let attempt = 1; ; attempt += 1) {
      const upstream = chooseUntried(service, triedIds);
      if (upstream === undefined) return mergeFailures(failure, NO_UPSTREAM);
      triedIds.add(upstream.id);
      ports.log.info({ event: 'route', id, service, team, upstream: upstream.id, attempt });
      const result = await sendOnce(routed, upstream);
      if (result.failure === undefined) return undefined;
      failure = mergeFailures(failure, result.failure);
      counts = addAttempt(counts, result);
      const mayRetry =
        !response.headersSent &&
        guard.getReason() === undefined &&
        body.isReplayable() &&
        retries.mayRetry(context, result, counts);
      if (!mayRetry) return failure;
      const refusal = refuseDraining(context);
      if (refusal !== undefined) return mergeFailures(failure, refusal);
    }
  };
  const runAdmitted = async (routed: RoutedRequest): Promise<Failure | undefined> => {
    const { context, request, response, guard } = routed;
    const abort = new AbortController();
    guard.setStopHandler(() => abort.abort());
    const admitted = await ports.admission.admit(context, abort.signal);
    const reason = guard.getReason();
    if (admitted.isErr()) {
      return reason === 'draining' ? makeStopFailure(reason, 'not-run') : admitted.error;
    }
    if (reason !== undefined) {
      admitted.value.release();
      return makeStopFailure(reason, 'not-run');
    }
    if (request.headers.expect !== undefined) response.writeContinue();
    retries.observeRequest(context.service);
    const failure = await sendWithRetries(routed);
    admitted.value.release();
    return failure;
  };
  const runClassified = async (
    context: RequestContext,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<Failure | undefined> => {
    const refusal = refuseDraining(context);
    if (refusal !== undefined) return refusal;
    const body = createRequestBody(request, context.values.maxBodyBytes);
    const { deadlineAtMs } = context;
    const guard = createGuard(request, response, body, { deadlineAtMs, drain: ports.drain });
    const failure = await runAdmitted({ context, request, response, body, guard });
    guard.release();
    return failure;
  };
  return async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const config = ports.getConfig();
    if (config === undefined) {
      sendFailure(request, response, NOT_READY, isDraining());
      return;
    }
    const context = classifyRequest(request, config);
    const failure = context.isErr()
      ? context.error
      : await runClassified(context.value, request, response);
    if (failure === undefined) return;
    const id = context.isOk() ? context.value.id : undefined;
    ports.log.info({ event: 'failure', id, code: failure.code, verdict: failure.verdict });
    sendFailure(request, response, failure, isDraining());
  };
}
