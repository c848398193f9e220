/**
 * Outermost filter: reports each finished request with its service, team, urgency, code and
 * duration. Label values come only from the configuration, so that callers cannot create new metric
 * series.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Config } from 'vanilladock';
import { OK_CODE, type RequestObservation } from '../metrics.js';
import { HEADERS } from './context.js';

const OTHER_LABEL = 'other';
const FIRST_SEGMENT_PATTERN = /^\/([^/?]+)/;

/** Handles one request. */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => void;

/** Gets the labels of a request; names that the configuration does not have become `other`. */
function getLabels(request: IncomingMessage, config: Config | undefined) {
  const path = FIRST_SEGMENT_PATTERN.exec(request.url ?? '')?.[1];
  const service = config?.services.find(({ name }) => name === path);
  const team = config?.teams.find(({ name }) => name === request.headers[HEADERS.team]);
  return {
    service: service?.name ?? OTHER_LABEL,
    urgency: service?.urgency ?? OTHER_LABEL,
    team: team?.name ?? OTHER_LABEL,
  };
}

/**
 * Wraps a handler so that `observe` is called once for every request when its response has closed.
 * The code is that of the failure response, if one was begun; any other response that was not sent
 * in full has `caller-left`, also when the upstream truncated it. Without a configuration, the
 * labels are `other`.
 */
export function observeRequests(
  handle: RequestHandler,
  getConfig: () => Config | undefined,
  observe: (observation: RequestObservation) => void,
): RequestHandler {
  return (request, response) => {
    const arrivedAtMs = performance.now();
    response.once('close', () => {
      const header = response.getHeader(HEADERS.code);
      const defaultCode = response.writableFinished ? OK_CODE : 'caller-left';
      const code = typeof header === 'string' ? header : defaultCode;
      const durationMs = performance.now() - arrivedAtMs;
      observe({ ...getLabels(request, getConfig()), code, durationMs });
    });
    handle(request, response);
  };
}
