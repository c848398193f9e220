/**
 * The operators' HTTP server. `/live` and `/ready` are open to probes; `/`, `/status.json` and
 * `/metrics` require the settings' key, in the header `vanilladock-key` or as the password of basic
 * authentication.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { isSameKey, KEY_HEADER } from '../keys.js';
import type { Metrics } from '../metrics.js';
import { renderStatus } from './render-status.js';
import type { EntryStatus } from './status.js';

/** What the operators' server needs from the entry. */
export interface OperatorPorts {
  readonly key: string;
  readonly isReady: () => boolean;
  readonly getStatus: () => EntryStatus;
  readonly metrics: Pick<Metrics, 'render' | 'contentType'>;
}

const BASIC_PREFIX = 'Basic ';
const JSON_CONTENT_TYPE = 'application/json';
const HTML_CONTENT_TYPE = 'text/html; charset=utf-8';

/** Sends an answer with a body of a content type; it is not to be cached. */
function sendText(response: ServerResponse, status: number, type: string, body: string): void {
  response.writeHead(status, { 'content-type': type, 'cache-control': 'no-store' });
  response.end(body);
}

/** Sends a JSON answer. */
function sendJson(response: ServerResponse, status: number, value: unknown): void {
  sendText(response, status, JSON_CONTENT_TYPE, `${JSON.stringify(value)}\n`);
}

/** Returns the key that a request carries; empty when it carries none. */
function getKey(request: IncomingMessage): string {
  const header = request.headers[KEY_HEADER];
  if (typeof header === 'string') return header;
  const authorization = request.headers.authorization ?? '';
  if (!authorization.startsWith(BASIC_PREFIX)) return '';
  const decoded = Buffer.from(authorization.slice(BASIC_PREFIX.length), 'base64').toString();
  return decoded.slice(decoded.indexOf(':') + 1);
}

/** Refuses a request without the right key. */
function refuseKey(response: ServerResponse): void {
  response.setHeader('www-authenticate', 'Basic realm="vanilladock operators"');
  const message = `send the key of the settings file in the header ${KEY_HEADER}`;
  sendJson(response, 401, { code: 'wrong-key', message });
}

/** Creates the operators' server without opening it. */
export function createOperatorServer(ports: OperatorPorts): Server {
  const answerMetrics = async (response: ServerResponse) => {
    sendText(response, 200, ports.metrics.contentType, await ports.metrics.render());
  };
  const answerAuthorized = (path: string, response: ServerResponse) => {
    switch (path) {
      case '/':
        sendText(response, 200, HTML_CONTENT_TYPE, renderStatus(ports.getStatus()));
        return;
      case '/status.json':
        sendJson(response, 200, ports.getStatus());
        return;
      case '/metrics':
        void answerMetrics(response);
        return;
      default:
        sendJson(response, 404, {
          code: 'unknown-path',
          message: 'see /, /status.json, /metrics, /ready and /live',
        });
    }
  };
  return createServer((request, response) => {
    const path = (request.url ?? '/').split('?')[0] ?? '/';
    if (path === '/live') sendJson(response, 200, { isLive: true });
    else if (path === '/ready') {
      sendJson(response, ports.isReady() ? 200 : 503, { isReady: ports.isReady() });
    } else if (!isSameKey(getKey(request), ports.key)) refuseKey(response);
    else answerAuthorized(path, response);
  });
}
