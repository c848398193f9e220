/**
 * Baseline entry: sends each request to the upstream with the fewest requests in progress and has
 * no queues. Requests beyond its limit are refused with a fixed Retry-After; without a limit, all
 * are sent. Run as `herd-baseline.js {"limit": 10, "upstreams": [...]}`; a limit of 0 means no
 * limit.
 */
import { Agent, createServer, request as sendRequest } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Instance } from 'vanilladock';

interface BaselineOptions {
  /** Requests of one service in progress at once; 0 for no limit. */
  readonly limit: number;
  readonly upstreams: readonly Instance[];
}

const RETRY_AFTER_S = 1;

const options = JSON.parse(process.argv[2] ?? '{}') as BaselineOptions;
const agent = new Agent({ keepAlive: true });
const inFlight = new Map<string, number>();

/** Adds to a count of requests in progress. */
function addInFlight(name: string, change: number): void {
  inFlight.set(name, (inFlight.get(name) ?? 0) + change);
}

/** Refuses a request with the fixed Retry-After. */
function refuseRequest(response: ServerResponse): void {
  const headers = { 'retry-after': String(RETRY_AFTER_S), 'vanilladock-verdict': 'not-run' };
  response.writeHead(503, headers);
  response.end();
}

/** Forwards a request and its answer. */
function sendToUpstream(
  upstream: Instance,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const [host, port] = upstream.address.split(':');
  const { method, headers } = request;
  const outgoing = sendRequest({ host, port: Number(port), method, headers, agent }, (answer) => {
    response.writeHead(answer.statusCode ?? 502);
    answer.pipe(response);
  });
  const deadlineMs = Number(headers['vanilladock-deadline-ms']);
  const timer = setTimeout(() => outgoing.destroy(), deadlineMs);
  outgoing.on('error', () => {
    if (!response.headersSent) response.writeHead(504, { 'vanilladock-verdict': 'may-have-run' });
    response.end();
  });
  response.once('close', () => {
    clearTimeout(timer);
    addInFlight(upstream.id, -1);
    addInFlight(upstream.service ?? '', -1);
  });
  request.pipe(outgoing);
}

const server = createServer((request, response) => {
  const service = request.url?.split('/')[1] ?? '';
  const upstreams = options.upstreams.filter((upstream) => upstream.service === service);
  const [first] = upstreams;
  const isFull = options.limit > 0 && (inFlight.get(service) ?? 0) >= options.limit;
  if (first === undefined || isFull) {
    refuseRequest(response);
    return;
  }
  const leastLoaded = upstreams.reduce(
    (best, other) => ((inFlight.get(other.id) ?? 0) < (inFlight.get(best.id) ?? 0) ? other : best),
    first,
  );
  addInFlight(leastLoaded.id, 1);
  addInFlight(service, 1);
  sendToUpstream(leastLoaded, request, response);
});
server.listen(0, '127.0.0.1', () => {
  const { port } = server.address() as AddressInfo;
  const line = { event: 'started', address: `127.0.0.1:${port}` };
  process.stdout.write(`${JSON.stringify(line)}\n`);
});
