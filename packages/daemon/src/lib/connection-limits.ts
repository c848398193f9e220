/**
 * Keeps what callers have open within the memory and the descriptors of a process. Load pattern:
 * thousands of connections, each with requests that are sent ahead while their answers stay unread, or
 * with a request that never ends. Beyond a limit the connection that holds most is closed, so that the
 * ordinary caller that comes next is served.
 */
import { getHeapStatistics } from 'node:v8';
import type { Socket } from 'node:net';
import type { ConnectionUse, WatchedConnections } from './connection-use.js';
import type { JsonLog } from './json-log.js';

/** A connection that was closed as it held most. */
export interface ClosedConnection {
  /** The limit that was reached. */
  readonly why: 'connections' | 'requests' | 'unread';
  /** Requests of the connection whose answers had not been sent. */
  readonly openRequests: number;
}

/** Limits of a server. */
export interface ConnectionLimits {
  readonly maxConnections: number;
  /** Requests of all connections together whose answers have not been sent. */
  readonly maxOpenRequests: number;
  readonly handleClosed: (closed: ClosedConnection) => void;
}

/** Descriptors of a process that are kept for files. */
const FILE_DESCRIPTORS = 200;

/** Share of the other descriptors that callers may use; the rest reaches workers, peers and the store. */
const CALLER_SHARE = 0.75;

/** Share of the heap that requests without an answer may take. */
const REQUEST_SHARE = 0.2;

/** Heap that a request without an answer takes, in bytes. */
const REQUEST_BYTES = 5_000;

/** Closed connections are logged at most this often. */
const LOG_INTERVAL_MS = 1_000;

/** Connections that were closed by a limit. */
const closedSockets = new WeakSet<Socket>();

/** Says whether a connection was closed by a limit; its requests are not reported one by one. */
export function isClosedByLimit(socket: Socket): boolean {
  return closedSockets.has(socket);
}

/** Makes the function that closes a connection which waits to be read beyond a limit. */
export function makeCloseUnread(handleClosed: ConnectionLimits['handleClosed']) {
  return (socket: Socket) => {
    closedSockets.add(socket);
    socket.destroy();
    handleClosed({ why: 'unread', openRequests: 0 });
  };
}

/** Computes the limits of a server for callers in a process with so many descriptors. */
export function computeCallerLimits(
  maxDescriptors: number,
): Pick<ConnectionLimits, 'maxConnections' | 'maxOpenRequests'> {
  const sockets = Math.max(1, maxDescriptors - FILE_DESCRIPTORS);
  const heapBytes = getHeapStatistics().heap_size_limit;
  return {
    maxConnections: Math.ceil(sockets * CALLER_SHARE),
    maxOpenRequests: Math.ceil((heapBytes * REQUEST_SHARE) / REQUEST_BYTES),
  };
}

/** Bytes of a request that a connection has begun; of one with open requests, also of these. */
function countBegunBytes(socket: Socket, { restBytes }: ConnectionUse): number {
  return socket.bytesRead - restBytes;
}

/** Finds the connection that holds most: open requests, then bytes of one that has begun, then time. */
function findHeaviest({ table }: WatchedConnections): Socket | undefined {
  let heaviest: readonly [Socket, ConnectionUse] | undefined;
  for (const entry of table) {
    if (heaviest === undefined) heaviest = entry;
    const [socket, use] = entry;
    const [otherSocket, other] = heaviest;
    const isHeavier =
      use.openRequests - other.openRequests ||
      countBegunBytes(socket, use) - countBegunBytes(otherSocket, other) ||
      other.restSinceMs - use.restSinceMs;
    if (isHeavier > 0) heaviest = entry;
  }
  return heaviest?.[0];
}

/** Makes the observer that applies limits to the connections of a server. */
export function createConnectionLimiter(
  connections: WatchedConnections,
  { maxConnections, maxOpenRequests, handleClosed }: ConnectionLimits,
) {
  const closeHeaviest = (why: ClosedConnection['why']) => {
    const socket = findHeaviest(connections);
    if (socket === undefined) return;
    const openRequests = connections.table.get(socket)?.openRequests ?? 0;
    closedSockets.add(socket);
    connections.destroy(socket);
    handleClosed({ why, openRequests });
  };
  return {
    handleOpened: () => {
      if (connections.table.size > maxConnections) closeHeaviest('connections');
    },
    handleRequest: () => {
      if (connections.countRequests() > maxOpenRequests) closeHeaviest('requests');
    },
  };
}

/** Creates the log of closed connections, of which one line has all of a second. */
export function createClosedLog(
  log: Pick<JsonLog, 'warn'>,
  server: string,
): ConnectionLimits['handleClosed'] {
  let counts = { connections: 0, openRequests: 0 };
  return ({ why, openRequests }) => {
    counts = {
      connections: counts.connections + 1,
      openRequests: counts.openRequests + openRequests,
    };
    if (counts.connections > 1) return;
    setTimeout(() => {
      log.warn({ event: 'connections-closed', server, why, ...counts });
      counts = { connections: 0, openRequests: 0 };
    }, LOG_INTERVAL_MS).unref();
  };
}
