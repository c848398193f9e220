/**
 * The HTTP server for callers. Input that never becomes a request (a malformed head, an upgrade,
 * CONNECT) is rejected here with the same codes and verdicts as failed requests.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';
import type { Failure } from 'vanilladock';
import { sendRawFailure, isLingering } from './failure-response.js';

/** Maximum size of a request head, in bytes. */
export const MAX_HEAD_BYTES = 16_384;

const HEAD_TIMEOUT_MS = 10_000;
const KEEP_ALIVE_MS = 75_000;
const STATUS_TIMEOUT = 408;
const STATUS_HEAD_TOO_LARGE = 431;

const UPGRADE_REFUSED: Failure = {
  code: 'upgrade-refused',
  verdict: 'not-run',
  message: 'Upgrades and CONNECT are not served; send a plain HTTP/1.1 request.',
};

/** Builds the failure for a request that could not be parsed. */
function makeBadRequest(detail: string): Failure {
  const message = `The request is not valid HTTP/1.1 (${detail}); correct it.`;
  return { code: 'bad-request', verdict: 'not-run', message };
}

/** Gets the HTTP status for an error of Node's parser; undefined for the failure code's own. */
function getErrorStatus(code: string | undefined): number | undefined {
  if (code === 'HPE_HEADER_OVERFLOW') return STATUS_HEAD_TOO_LARGE;
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') return STATUS_TIMEOUT;
  return undefined;
}

/**
 * Creates the server, not yet listening; `handle` receives every request that could be parsed, also
 * one with the header `Expect`, and has to send `100 Continue` for it.
 */
export function createCallerServer(
  handle: (request: IncomingMessage, response: ServerResponse) => void,
): Server {
  const server = createServer({
    maxHeaderSize: MAX_HEAD_BYTES,
    headersTimeout: HEAD_TIMEOUT_MS,
    requestTimeout: 0,
    keepAliveTimeout: KEEP_ALIVE_MS,
    insecureHTTPParser: false,
    requireHostHeader: false,
    noDelay: true,
  });
  const inProgressCounts = new WeakMap<Duplex, number>();
  const addInProgress = (socket: Duplex, change: number) =>
    inProgressCounts.set(socket, (inProgressCounts.get(socket) ?? 0) + change);
  const handleRequest = (request: IncomingMessage, response: ServerResponse) => {
    const { socket } = request;
    // What was read in one piece with the request for which a limit has closed the connection.
    if (socket.destroyed) return;
    addInProgress(socket, 1);
    response.once('close', () => addInProgress(socket, -1));
    handle(request, response);
  };
  const refuseSocket = (socket: Duplex, failure: Failure, status?: number) => {
    if (isLingering(socket)) socket.end(() => socket.destroy());
    else if (!socket.writable || (inProgressCounts.get(socket) ?? 0) > 0) socket.destroy();
    else sendRawFailure(socket, failure, status);
  };
  server.maxHeadersCount = 0;
  server.on('request', handleRequest);
  server.on('checkContinue', handleRequest);
  server.on('checkExpectation', handleRequest);
  server.on('upgrade', (_request, socket) => refuseSocket(socket, UPGRADE_REFUSED));
  server.on('connect', (_request, socket) => refuseSocket(socket, UPGRADE_REFUSED));
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    refuseSocket(socket, makeBadRequest(error.code ?? error.message), getErrorStatus(error.code));
  });
  return server;
}
