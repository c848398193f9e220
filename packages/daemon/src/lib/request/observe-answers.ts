/**
 * Outermost filter: reports each finished request with its service, team, urgency, code and duration.
 * Labels come only from the configuration, so that callers cannot create new ones.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Config } from 'vanilladock';
import { OK_CODE, type AnswerObservation } from '../metrics.js';
import { HEADERS } from './context.js';

const OTHER = 'other';
const FIRST_SEGMENT = /^\/([^/?]+)/;

/** Handles one request. */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => void;

/** Reads the labels of a request that the configuration knows. */
function getLabels(request: IncomingMessage, config: Config | undefined) {
  const path = FIRST_SEGMENT.exec(request.url ?? '')?.[1];
  const service = config?.services.find(({ name }) => name === path);
  const team = config?.teams.find(({ name }) => name === request.headers[HEADERS.team]);
  return {
    service: service?.name ?? OTHER,
    urgency: service?.urgency ?? OTHER,
    team: team?.name ?? OTHER,
  };
}

/** Wraps a handler so that every finished request is observed. */
export function observeAnswers(
  handle: RequestHandler,
  getConfig: () => Config | undefined,
  observe: (observation: AnswerObservation) => void,
): RequestHandler {
  return (request, response) => {
    const arrivedAtMs = performance.now();
    response.once('close', () => {
      const header = response.getHeader(HEADERS.code);
      const unfinished = response.writableFinished ? OK_CODE : 'caller-left';
      const code = typeof header === 'string' ? header : unfinished;
      const durationMs = performance.now() - arrivedAtMs;
      observe({ ...getLabels(request, getConfig()), code, durationMs });
    });
    handle(request, response);
  };
}
