/**
 * First filter: reads service, team, urgency, idempotence and deadline from a request's head. The
 * first path segment names the service.
 */
import { randomUUID } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import { Err, Ok, type Result } from 'ts-results-es';
import { resolveValues, URGENCIES, type Config, type Failure, type Urgency } from 'vanilladock';
import { HEADERS, type RequestContext } from './context.js';

const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set([
  'GET',
  'HEAD',
  'PUT',
  'DELETE',
  'OPTIONS',
]);
const SERVICE_PATH = /^\/([^/?]+)(.*)$/;

/** Reads a header that may be given once. */
function getHeader(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return typeof value === 'string' ? value : undefined;
}

/** Reads the urgency that a request names; undefined when it names none that is known. */
function getUrgency(request: IncomingMessage): Urgency | undefined {
  const named = getHeader(request, HEADERS.urgency);
  return URGENCIES.find((urgency) => urgency === named);
}

/** Builds the failure for a request that names no known service or team. */
function makeUnknown(what: string): Failure {
  const message = `There is no ${what}; correct the request.`;
  return { code: 'unknown-service', verdict: 'not-run', message };
}

/** Classifies a request by its head. */
export function classifyRequest(
  request: IncomingMessage,
  config: Config,
): Result<RequestContext, Failure> {
  const match = SERVICE_PATH.exec(request.url ?? '/');
  const service = config.services.find(({ name }) => name === match?.[1]);
  if (service === undefined) return Err(makeUnknown(`service at the path ${request.url}`));
  const team = getHeader(request, HEADERS.team) ?? config.teams[0]?.name ?? '';
  if (!config.teams.some(({ name }) => name === team)) return Err(makeUnknown(`team ${team}`));
  const subject = { service: service.name, pool: service.pool, team };
  const values = resolveValues(config, subject, Date.now());
  const askedMs = Number(getHeader(request, HEADERS.deadlineMs) ?? values.deadlineMs);
  const deadlineMs = Number.isFinite(askedMs) ? Math.min(askedMs, values.deadlineMs) : 0;
  const arrivedAtMs = performance.now();
  return Ok({
    id: getHeader(request, HEADERS.requestId) ?? randomUUID(),
    service: service.name,
    team,
    urgency: getUrgency(request) ?? service.urgency,
    isIdempotent:
      IDEMPOTENT_METHODS.has(request.method ?? '') ||
      getHeader(request, HEADERS.idempotent) === 'true',
    arrivedAtMs,
    deadlineAtMs: arrivedAtMs + deadlineMs,
    path: match?.[2]?.startsWith('/') ? match[2] : `/${match?.[2] ?? ''}`,
    values,
  });
}
