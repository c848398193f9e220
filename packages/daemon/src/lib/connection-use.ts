/**
 * What the connections of a server carry. Node's own view of idle connections does not serve: it holds
 * one idle whose answer is still being written, and one in use that has carried no byte.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** What a connection carries. */
export interface ConnectionUse {
  /** Requests whose answer has not been passed on to the kernel as a whole. */
  openRequests: number;
  /** Bytes that were read up to the end of the last answer. */
  restBytes: number;
  /** Time of the opening or the end of the last answer, monotonic, in milliseconds. */
  restSinceMs: number;
}

/** The open connections of one server. */
export type ConnectionTable = ReadonlyMap<Socket, ConnectionUse>;

/** Observer of the connections; called after the table has changed. */
export interface ConnectionObserver {
  readonly handleOpened: () => void;
  readonly handleRequest: () => void;
}

/** Connections of one server, with their sums. */
export interface WatchedConnections {
  readonly table: ConnectionTable;
  /** Sums the open requests of all connections. */
  readonly countRequests: () => number;
  /** Closes a connection at once with all that it carries. */
  readonly destroy: (socket: Socket) => void;
}

/** Events with which Node's HTTP server hands over a request; the last two only to listeners. */
const REQUEST_EVENTS = ['request', 'checkContinue', 'checkExpectation'] as const;

/** Starts to watch the connections of a server that is about to listen. */
export function watchConnections(
  server: Server,
  getObserver: () => ConnectionObserver | undefined,
): WatchedConnections {
  const table = new Map<Socket, ConnectionUse>();
  let requests = 0;
  const drop = (socket: Socket) => {
    requests -= table.get(socket)?.openRequests ?? 0;
    table.delete(socket);
  };
  const observeRequest = ({ socket }: IncomingMessage, response: ServerResponse) => {
    const use = table.get(socket);
    if (use === undefined) return;
    use.openRequests += 1;
    requests += 1;
    response.once('close', () => {
      if (table.get(socket) !== use) return;
      use.openRequests -= 1;
      requests -= 1;
      use.restBytes = socket.bytesRead;
      use.restSinceMs = performance.now();
    });
    getObserver()?.handleRequest();
  };
  server.on('connection', (socket: Socket) => {
    table.set(socket, { openRequests: 0, restBytes: 0, restSinceMs: performance.now() });
    socket.once('close', () => drop(socket));
    getObserver()?.handleOpened();
  });
  REQUEST_EVENTS.filter((event) => event === 'request' || server.listenerCount(event) > 0).forEach(
    (event) => server.prependListener(event, observeRequest),
  );
  return {
    table,
    countRequests: () => requests,
    destroy: (socket) => {
      drop(socket);
      socket.destroy();
    },
  };
}
