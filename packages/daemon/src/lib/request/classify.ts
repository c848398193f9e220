/**
 * First filter: reads service, team, urgency, idempotence and deadline from a request's head. The
 * first path segment names the service. Ambiguous requests are rejected.
 */
import { randomUUID } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import { Err, Ok, type Result } from 'ts-results-es';
import {
  resolveValues,
  URGENCIES,
  type Config,
  type Failure,
  type Urgency,
  type Values,
} from 'vanilladock';
import { HEADERS, type RequestContext } from './context.js';
import { readBodyLength } from './headers.js';

const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set([
  'GET',
  'HEAD',
  'PUT',
  'DELETE',
  'OPTIONS',
  'TRACE',
]);
const SERVICE_PATH_PATTERN = /^\/([^/?]+)(.*)$/;
const REQUEST_ID_PATTERN = /^[\x21-\x7e]{1,200}$/;
const DEADLINE_PATTERN = /^\d{1,9}$/;
const VALUES_CACHE_MS = 1_000;

type ServiceConfig = Config['services'][number];

/** Resolved configuration values of a service and team, cached for `VALUES_CACHE_MS`. */
interface CachedValues {
  readonly values: Values;
  readonly expiresAtMs: number;
}

const cachesByConfig = new WeakMap<Config, Map<string, CachedValues>>();

/**
 * Resolves the values of a service and team. Results are cached for a second, so a configured
 * exception that ends takes effect within that time.
 */
function getValues(config: Config, service: ServiceConfig, team: string): Values {
  const cache = cachesByConfig.get(config) ?? new Map<string, CachedValues>();
  cachesByConfig.set(config, cache);
  const key = `${service.name} ${team}`;
  const nowMs = performance.now();
  const cached = cache.get(key);
  if (cached !== undefined && cached.expiresAtMs > nowMs) return cached.values;
  const subject = { service: service.name, pool: service.pool, team };
  const values = resolveValues(config, subject, Date.now());
  cache.set(key, { values, expiresAtMs: nowMs + VALUES_CACHE_MS });
  return values;
}

/** Gets a header that may be given only once. */
function getHeader(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return typeof value === 'string' ? value : undefined;
}

/** Gets the urgency that a request names; undefined when it names none or an unknown one. */
function getUrgency(request: IncomingMessage): Urgency | undefined {
  const requested = getHeader(request, HEADERS.urgency);
  return URGENCIES.find((urgency) => urgency === requested);
}

/** Builds the failure for a request that names an unknown service or team. */
function makeNotFound(missing: string): Failure {
  const message = `There is no ${missing}; correct the request.`;
  return { code: 'unknown-service', verdict: 'not-run', message };
}

/** Builds the failure for a malformed request. */
function makeBadRequest(problem: string): Failure {
  return { code: 'bad-request', verdict: 'not-run', message: `${problem}; correct the request.` };
}

/** Finds what is malformed in a request's head; undefined for a valid head. */
function findHeadProblem(request: IncomingMessage): string | undefined {
  const { headers } = request;
  const length = readBodyLength(request);
  if (length.kind === 'refused') return `The body's length is unclear: ${length.message}`;
  if (request.httpVersion === '1.1' && headers.host === undefined) {
    return 'The header Host is missing';
  }
  if (headers.expect !== undefined && headers.expect.toLowerCase() !== '100-continue') {
    return `The expectation ${headers.expect} is not known`;
  }
  const id = headers[HEADERS.requestId];
  if (typeof id === 'string' && !REQUEST_ID_PATTERN.test(id)) {
    return `The header ${HEADERS.requestId} must have 1 to 200 visible characters`;
  }
  const deadline = headers[HEADERS.deadlineMs];
  if (typeof deadline === 'string' && !DEADLINE_PATTERN.test(deadline)) {
    return `The header ${HEADERS.deadlineMs} must be a number of milliseconds`;
  }
  return undefined;
}

/** Finds whether a body is declared longer than the service accepts, and builds its failure. */
function findLengthFailure(request: IncomingMessage, maxBytes: number): Failure | undefined {
  const length = readBodyLength(request);
  if (length.kind !== 'declared' || length.bytes <= maxBytes) return undefined;
  const message = `The body has ${length.bytes} bytes, the service takes ${maxBytes}; send a shorter one.`;
  return { code: 'body-too-large', verdict: 'not-run', message };
}

/**
 * Classifies a request by its head, without reading its body; `Err` holds the failure to respond
 * with. A request that names no team counts for the first configured one, and one without a known
 * urgency has that of its service. Its deadline is at most the configured one.
 */
export function classifyRequest(
  request: IncomingMessage,
  config: Config,
): Result<RequestContext, Failure> {
  const problem = findHeadProblem(request);
  if (problem !== undefined) return Err(makeBadRequest(problem));
  const match = SERVICE_PATH_PATTERN.exec(request.url ?? '/');
  const service = config.services.find(({ name }) => name === match?.[1]);
  if (service === undefined) return Err(makeNotFound(`service at the path ${request.url}`));
  const team = getHeader(request, HEADERS.team) ?? config.teams[0]?.name ?? '';
  if (!config.teams.some(({ name }) => name === team)) return Err(makeNotFound(`team ${team}`));
  const values = getValues(config, service, team);
  const lengthFailure = findLengthFailure(request, values.maxBodyBytes);
  if (lengthFailure !== undefined) return Err(lengthFailure);
  const requestedDeadlineMs = Number(getHeader(request, HEADERS.deadlineMs) ?? values.deadlineMs);
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
    deadlineAtMs: arrivedAtMs + Math.min(requestedDeadlineMs, values.deadlineMs),
    path: match?.[2]?.startsWith('/') ? match[2] : `/${match?.[2] ?? ''}`,
    values,
  });
}
