/** Opening and closing of the daemon's listening HTTP servers. */
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';

/** Opens a server at `ip:port` and resolves to the address that was bound. */
export function openServer(server: Server, address: string): Promise<string> {
  const [host, port] = address.split(':');
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(Number(port), host, () => {
      server.off('error', reject);
      resolve(`${host}:${(server.address() as AddressInfo).port}`);
    });
  });
}

/** Stops accepting, waits for requests in progress, at most `limitMs`, and closes the server. */
export function closeServer(server: Server, limitMs: number): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => server.closeAllConnections(), limitMs);
    server.close(() => {
      clearTimeout(timer);
      resolve();
    });
    server.closeIdleConnections();
  });
}
