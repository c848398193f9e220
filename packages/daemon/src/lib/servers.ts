/** Opening and closing of the daemon's listening HTTP servers. */
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';

const IDLE_CHECK_MS = 50;

const LISTEN_ADVICE: Readonly<Record<string, string>> = {
  EADDRINUSE: 'the port is in use; choose another one or stop what holds it',
  EADDRNOTAVAIL: 'this instance does not have that address; correct the settings',
  EACCES: 'the port needs rights that this process lacks; choose another one',
};

/** Explains why an address could not be bound and what to do about it. */
function makeListenError(address: string, error: NodeJS.ErrnoException): Error {
  const advice = LISTEN_ADVICE[error.code ?? ''] ?? error.message;
  return Object.assign(error, { message: `cannot listen on ${address}: ${advice}` });
}

/** Resolves after a time in milliseconds. */
export function waitMs(timeMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, timeMs);
  });
}

/** Opens a server at `ip:port` and resolves to the address bound; rejects with an explanation. */
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

/**
 * Stops accepting, waits for requests in progress, at most `limitMs`, and closes the server.
 * Connections are closed as they become idle.
 */
export function closeServer(server: Server, limitMs: number): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => server.closeAllConnections(), limitMs);
    const idleTimer = setInterval(() => server.closeIdleConnections(), IDLE_CHECK_MS);
    server.close(() => {
      clearTimeout(timer);
      clearInterval(idleTimer);
      resolve();
    });
    server.closeIdleConnections();
  });
}
