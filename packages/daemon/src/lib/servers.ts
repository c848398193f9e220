/** Opens and gracefully closes the daemon's HTTP servers. */
import type { Server } from 'node:http';
import { Server as NetServer, type AddressInfo, type Socket } from 'node:net';
import { createConnectionLimiter, type ConnectionLimits } from './connection-limits.js';
import {
  watchConnections,
  type ConnectionObserver,
  type ConnectionTable,
  type ConnectionUse,
  type WatchedConnections,
} from './connection-use.js';

const IDLE_CHECK_INTERVAL_MS = 50;

/**
 * Time in milliseconds after its opening, or after its last answer, in which a connection is not
 * closed as idle: the request for which the caller opened or kept it may be on its way.
 */
const IDLE_GRACE_MS = 300;

const LISTEN_ADVICE: Readonly<Record<string, string>> = {
  EADDRINUSE: 'the port is in use; choose another one or stop the process that uses it',
  EADDRNOTAVAIL: 'this instance does not have that address; correct the settings',
  EACCES: 'this process may not bind that port; choose another one',
  EMFILE: 'this process has no file descriptor left; raise its limit',
};

const watched = new WeakMap<Server, WatchedConnections>();

/** Closes the connections without an answer in progress and without a begun request. */
function closeIdle(table: ConnectionTable): void {
  const latestRestMs = performance.now() - IDLE_GRACE_MS;
  table.forEach(({ openRequests, restBytes, restSinceMs }, socket) => {
    const hasNothing =
      openRequests === 0 && socket.writableLength === 0 && socket.bytesRead === restBytes;
    if (hasNothing && restSinceMs <= latestRestMs) socket.destroy();
  });
}

/** Builds an error that explains why an address could not be bound and what to do about it. */
function makeListenError(address: string, error: NodeJS.ErrnoException): Error {
  const advice = LISTEN_ADVICE[error.code ?? ''] ?? error.message;
  return new Error(`cannot listen on ${address}: ${advice}`, { cause: error });
}

/** Resolves after a number of milliseconds. */
export function waitMs(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}

/** Waits for work, at most `limitMs` milliseconds; resolves to whether it has ended. */
export async function waitAtMost(work: Promise<void>, limitMs: number): Promise<boolean> {
  let timer: NodeJS.Timeout | undefined;
  const limit = new Promise<boolean>((resolve) => {
    timer = setTimeout(() => resolve(false), limitMs);
  });
  try {
    return await Promise.race([work.then(() => true), limit]);
  } finally {
    clearTimeout(timer);
  }
}

/** Keeps the connections of a server from now on, within limits if it has any. */
function startWatch(server: Server, limits: ConnectionLimits | undefined): void {
  let observer: ConnectionObserver | undefined;
  const connections = watchConnections(server, () => observer);
  watched.set(server, connections);
  if (limits !== undefined) observer = createConnectionLimiter(connections, limits);
}

/**
 * Opens a server at `ip:port` and resolves to the bound address. Rejects with an error whose
 * message advises the operator and whose `cause` is the original error; the server may then be
 * opened again.
 */
export function openServer(
  server: Server,
  address: string,
  limits?: ConnectionLimits,
): Promise<string> {
  const [host, port] = address.split(':');
  if (!watched.has(server)) startWatch(server, limits);
  return new Promise((resolve, reject) => {
    const removeListeners = () => {
      server.off('error', handleError);
      server.off('listening', handleListening);
    };
    const handleError = (error: Error) => {
      removeListeners();
      reject(makeListenError(address, error));
    };
    const handleListening = () => {
      removeListeners();
      resolve(`${host}:${(server.address() as AddressInfo).port}`);
    };
    server.once('error', handleError);
    server.once('listening', handleListening);
    try {
      server.listen(Number(port), host);
    } catch (error) {
      handleError(error as Error);
    }
  });
}

/** Turns of the event loop that accept a whole backlog, as each may accept one connection only. */
const INPUT_TURNS = 512;

/** Turns of the event loop that read what has arrived on open connections and answer it at once. */
const ANSWER_TURNS = 8;

/**
 * Resolves when the input that has arrived by now has been handled, at the latest after `limitMs`,
 * to whether all of it has been.
 * In a process that gets little processor time, timers run before connections and requests that
 * have waited for long. `turns` is the number of turns of the event loop that the input may take.
 */
export async function waitInput(limitMs = Infinity, turns = INPUT_TURNS): Promise<boolean> {
  const startedMs = performance.now();
  for (let turn = 0; turn < turns; turn += 1) {
    if (performance.now() - startedMs > limitMs) return false;
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
  return true;
}

/**
 * Resolves when what has arrived by now on open connections has been read: at the end of the next
 * turn of the event loop, as the present one may have looked for input before. What is done then is
 * done before more is read.
 */
export async function waitArrived(): Promise<void> {
  await new Promise(setImmediate);
  await new Promise(setImmediate);
}

/**
 * Closes a server that `openServer` opened: stops accepting connections, closes each one when it
 * becomes idle, and after `limitMs` milliseconds closes the rest along with their requests. Resolves
 * when all are closed, to the number of requests that were cut.
 */
export function closeServer(server: Server, limitMs: number): Promise<number> {
  const table = watched.get(server)?.table ?? new Map<Socket, ConnectionUse>();
  return new Promise((resolve) => {
    let cutRequests = 0;
    const closeAll = () => {
      cutRequests = [...table.values()].reduce((sum, { openRequests }) => sum + openRequests, 0);
      server.closeAllConnections();
    };
    const timer = setTimeout(() => void waitInput(Infinity, ANSWER_TURNS).then(closeAll), limitMs);
    const closeIdleAfterInput = () => void waitArrived().then(() => closeIdle(table));
    const idleTimer = setInterval(closeIdleAfterInput, IDLE_CHECK_INTERVAL_MS);
    // The method of Node's HTTP server would cut answers that are still being written.
    NetServer.prototype.close.call(server, () => {
      clearTimeout(timer);
      clearInterval(idleTimer);
      server.close();
      resolve(cutRequests);
    });
    closeIdleAfterInput();
  });
}
