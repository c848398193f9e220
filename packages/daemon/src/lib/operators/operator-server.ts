/** The operators' port: liveness, readiness and status. Calls other than probes carry the key. */
import { createServer, type Server, type ServerResponse } from 'node:http';

/** What the operators' port shows. */
export interface OperatorPorts {
  readonly key: string;
  readonly isReady: () => boolean;
  readonly getStatus: () => unknown;
}

const KEY_HEADER = 'vanilladock-key';

/** Answers with JSON. */
function answerJson(response: ServerResponse, status: number, value: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(value));
}

/** Creates the operators' server, not yet listening. */
export function createOperatorServer(ports: OperatorPorts): Server {
  return createServer((request, response) => {
    if (request.url === '/live') answerJson(response, 200, { isLive: true });
    else if (request.url === '/ready') {
      answerJson(response, ports.isReady() ? 200 : 503, { isReady: ports.isReady() });
    } else if (request.headers[KEY_HEADER] !== ports.key) {
      answerJson(response, 401, { message: `send the settings' key in the header ${KEY_HEADER}` });
    } else if (request.url === '/status.json') answerJson(response, 200, ports.getStatus());
    else answerJson(response, 404, { message: 'see /status.json, /ready and /live' });
  });
}
