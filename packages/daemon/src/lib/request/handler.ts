/**
 * The request path as a pipe of filters: classify, admit, choose an upstream, send, answer. Writes one
 * log line for each routing decision.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  chooseUpstream,
  type Admission,
  type Candidate,
  type Config,
  type Failure,
  type Random,
} from 'vanilladock';
import type { JsonLog } from '../json-log.js';
import { answerFailure } from './answer.js';
import { classifyRequest } from './classify.js';
import type { RequestContext } from './context.js';
import type { Forward } from './forward.js';

/** What the request path needs from the daemon. */
export interface RequestPorts {
  readonly getConfig: () => Config | undefined;
  readonly listCandidates: (service: string) => readonly Candidate[];
  readonly observeStart: (upstreamId: string) => void;
  readonly observeEnd: (upstreamId: string, failure: Failure | undefined) => void;
  readonly admission: Admission;
  readonly forward: Forward;
  readonly random: Random;
  readonly log: JsonLog;
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

/** Creates the handler of callers' requests. */
export function createRequestHandler(ports: RequestPorts) {
  const sendToUpstream = async (
    context: RequestContext,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<Failure | undefined> => {
    const upstream = chooseUpstream(ports.listCandidates(context.service), ports.random);
    if (upstream === undefined) return NO_UPSTREAM;
    const { id, service, team } = context;
    ports.log.info({ event: 'route', id, service, team, upstream: upstream.id });
    ports.observeStart(upstream.id);
    const failure = await ports.forward(context, upstream.address, request, response);
    ports.observeEnd(upstream.id, failure);
    return failure;
  };
  const runAdmitted = async (
    context: RequestContext,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<Failure | undefined> => {
    const abort = new AbortController();
    response.once('close', () => abort.abort());
    const admitted = await ports.admission.admit(context, abort.signal);
    if (admitted.isErr()) return admitted.error;
    const failure = await sendToUpstream(context, request, response);
    admitted.value.release();
    return failure;
  };
  return async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const config = ports.getConfig();
    if (config === undefined) {
      answerFailure(response, NOT_READY);
      return;
    }
    const context = classifyRequest(request, config);
    const failure = context.isErr()
      ? context.error
      : await runAdmitted(context.value, request, response);
    if (failure === undefined) return;
    const id = context.isOk() ? context.value.id : undefined;
    ports.log.info({ event: 'failure', id, code: failure.code, verdict: failure.verdict });
    answerFailure(response, failure);
  };
}
