/** A small HTTP server with JSON bodies for the stand-ins. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** A running stand-in server. */
export interface RunningServer {
  /** `127.0.0.1:port`. */
  readonly address: string;
  /** Stops listening and closes all connections at once. */
  readonly close: () => Promise<void>;
  /** Refuses new requests, completes those in progress and closes; absent if none take time. */
  readonly drain?: () => Promise<void>;
}

/** Answers one request. Nothing catches what it throws or a rejection of its promise. */
export type Handler = (request: IncomingMessage, response: ServerResponse) => void;

/** Reads the whole request body as UTF-8 text. */
export async function readBody(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
}

/** Answers with a JSON body. */
export function answerJson(response: ServerResponse, status: number, value: unknown): void {
  const body = JSON.stringify(value);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  });
  response.end(body);
}

/**
 * Starts a server on the loopback interface; with `port` 0 the kernel chooses the port. A port in
 * use raises an `error` event that nothing handles, which ends the process.
 */
export async function startServer(handle: Handler, port = 0): Promise<RunningServer> {
  const server = createServer(handle);
  await new Promise<void>((resolve) => {
    server.listen(port, '127.0.0.1', resolve);
  });
  const { port: boundPort } = server.address() as AddressInfo;
  const close = () =>
    new Promise<void>((resolve) => {
      server.close(() => resolve());
      server.closeAllConnections();
    });
  return { address: `127.0.0.1:${boundPort}`, close };
}
