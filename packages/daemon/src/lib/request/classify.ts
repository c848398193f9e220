/**
 * First filter: reads service, team, urgency, idempotence and deadline from a request's head. The
 * first path segment names the service. What could be understood in two ways is refused.
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
const SERVICE_PATH = /^\/([^/?]+)(.*)$/;
const REQUEST_ID = /^[\x21-\x7e]{1,200}$/;
const DEADLINE = /^\d{1,9}$/;
const VALUES_KEPT_MS = 1_000;

type ServiceConfig = Config['services'][number];

/** What a service and team resolve to, kept for a short time. */
interface KeptValues {
  readonly values: Values;
  readonly untilMs: number;
}

const keptByConfig = new WeakMap<Config, Map<string, KeptValues>>();

/** Resolves the values of a service and team; exceptions that end take effect within a second. */
function getValues(config: Config, service: ServiceConfig, team: string): Values {
  const kept = keptByConfig.get(config) ?? new Map<string, KeptValues>();
  keptByConfig.set(config, kept);
  const key = `${service.name} ${team}`;
  const nowMs = performance.now();
  const known = kept.get(key);
  if (known !== undefined && known.untilMs > nowMs) return known.values;
  const subject = { service: service.name, pool: service.pool, team };
  const values = resolveValues(config, subject, Date.now());
  kept.set(key, { values, untilMs: nowMs + VALUES_KEPT_MS });
  return values;
}

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

/** Builds the failure for a malformed request. */
function makeBad(what: string): Failure {
  return { code: 'bad-request', verdict: 'not-run', message: `${what}; correct the request.` };
}

/** Finds what is malformed in a request's head. */
function findFault(request: IncomingMessage): string | undefined {
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
  if (typeof id === 'string' && !REQUEST_ID.test(id)) {
    return `The header ${HEADERS.requestId} must have 1 to 200 visible characters`;
  }
  const deadline = headers[HEADERS.deadlineMs];
  if (typeof deadline === 'string' && !DEADLINE.test(deadline)) {
    return `The header ${HEADERS.deadlineMs} must be a number of milliseconds`;
  }
  return undefined;
}

/** Builds the refusal of a body that is declared longer than the service takes. */
function findLengthFailure(request: IncomingMessage, maxBytes: number): Failure | undefined {
  const length = readBodyLength(request);
  if (length.kind !== 'declared' || length.bytes <= maxBytes) return undefined;
  const message = `The body has ${length.bytes} bytes, the service takes ${maxBytes}; send a shorter one.`;
  return { code: 'body-too-large', verdict: 'not-run', message };
}

/** Classifies a request by its head. */
export function classifyRequest(
  request: IncomingMessage,
  config: Config,
): Result<RequestContext, Failure> {
  const fault = findFault(request);
  if (fault !== undefined) return Err(makeBad(fault));
  const match = SERVICE_PATH.exec(request.url ?? '/');
  const service = config.services.find(({ name }) => name === match?.[1]);
  if (service === undefined) return Err(makeUnknown(`service at the path ${request.url}`));
  const team = getHeader(request, HEADERS.team) ?? config.teams[0]?.name ?? '';
  if (!config.teams.some(({ name }) => name === team)) return Err(makeUnknown(`team ${team}`));
  const values = getValues(config, service, team);
  const lengthFailure = findLengthFailure(request, values.maxBodyBytes);
  if (lengthFailure !== undefined) return Err(lengthFailure);
  const askedMs = Number(getHeader(request, HEADERS.deadlineMs) ?? values.deadlineMs);
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
    deadlineAtMs: arrivedAtMs + Math.min(askedMs, values.deadlineMs),
    path: match?.[2]?.startsWith('/') ? match[2] : `/${match?.[2] ?? ''}`,
    values,
  });
}
