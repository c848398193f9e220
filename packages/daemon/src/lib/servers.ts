/** Opens and gracefully closes the daemon's HTTP servers. */
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';

const IDLE_CHECK_INTERVAL_MS = 50;

const LISTEN_ADVICE: Readonly<Record<string, string>> = {
  EADDRINUSE: 'the port is in use; choose another one or stop the process that uses it',
  EADDRNOTAVAIL: 'this instance does not have that address; correct the settings',
  EACCES: 'this process may not bind that port; choose another one',
};

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

/**
 * Opens a server at `ip:port` and resolves to the bound address. Rejects with an error whose
 * message advises the operator and whose `cause` is the original error.
 */
export function openServer(server: Server, address: string): Promise<string> {
  const [host, port] = address.split(':');
  return new Promise((resolve, reject) => {
    const handleError = (error: Error) => reject(makeListenError(address, error));
    server.once('error', handleError);
    server.listen(Number(port), host, () => {
      server.off('error', handleError);
      resolve(`${host}:${(server.address() as AddressInfo).port}`);
    });
  });
}

/** Turns of the event loop in which a waiting connection is accepted, read and answered. */
const INPUT_TURNS = 3;

/**
 * Resolves when the input that has arrived by now has been handled. In a process that gets little
 * processor time, timers run before connections and requests that have waited for long.
 */
export async function waitInput(): Promise<void> {
  for (let turn = 0; turn < INPUT_TURNS; turn += 1) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}

/**
 * Closes a server gracefully: stops accepting connections, closes each one when it becomes idle,
 * and after `limitMs` milliseconds closes the rest along with their requests. Resolves when all are
 * closed.
 */
export function closeServer(server: Server, limitMs: number): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => server.closeAllConnections(), limitMs);
    const idleTimer = setInterval(() => server.closeIdleConnections(), IDLE_CHECK_INTERVAL_MS);
    server.close(() => {
      clearTimeout(timer);
      clearInterval(idleTimer);
      resolve();
    });
    server.closeIdleConnections();
  });
}
