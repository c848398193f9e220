/** A small HTTP server for stand-ins that speaks JSON on a port chosen by the kernel. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** A running stand-in. */
export interface RunningServer {
  /** `127.0.0.1:port`. */
  readonly address: string;
  readonly close: () => Promise<void>;
  /** Refuses new work, finishes what is in progress and closes; absent where nothing is in progress. */
  readonly drain?: () => Promise<void>;
}

/** Answers one request; throws nothing. */
export type Handler = (request: IncomingMessage, response: ServerResponse) => void;

/** Reads a whole request body as text. */
export async function readBody(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
}

/** Answers with JSON. */
export function answerJson(response: ServerResponse, status: number, value: unknown): void {
  const body = JSON.stringify(value);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  });
  response.end(body);
}

/** Starts a server on the loopback interface. */
export async function startServer(handle: Handler, port = 0): Promise<RunningServer> {
  const server = createServer(handle);
  await new Promise<void>((resolve) => {
    server.listen(port, '127.0.0.1', resolve);
  });
  const { port: bound } = server.address() as AddressInfo;
  const close = () =>
    new Promise<void>((resolve) => {
      server.close(() => resolve());
      server.closeAllConnections();
    });
  return { address: `127.0.0.1:${bound}`, close };
}
