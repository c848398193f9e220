/** Small HTTP server and client for the stand-ins; loopback only, no dependencies. */
import { createServer, request as requestHttp, Agent } from 'node:http';
import { createServer as createNetServer } from 'node:net';

export const HOST = '127.0.0.1';

/** Resolves after `ms` milliseconds. */
export function wait(ms) {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

function readAll(message) {
  return new Promise((resolve) => {
    const chunks = [];
    message.on('data', (chunk) => chunks.push(chunk));
    message.once('end', () => resolve(Buffer.concat(chunks)));
    message.once('close', () => resolve(undefined));
    message.on('error', () => resolve(undefined));
  });
}

/**
 * Starts a server on a free port, or on the wanted one. `handle` gets the method, path, query, headers and body, and
 * returns `{ status, body }`, where a body that is no buffer is sent as JSON, or `undefined` for no
 * answer at all (the connection is left hanging until the caller closes it).
 */
export async function startServer(handle, wanted = 0) {
  const server = createServer(async (message, response) => {
    const url = new URL(message.url, 'http://stand-in');
    const body = await readAll(message);
    if (body === undefined) return;
    const answer = await handle({
      method: message.method,
      path: url.pathname,
      query: url.searchParams,
      headers: message.headers,
      body,
    });
    if (answer === undefined || response.destroyed) return;
    const bytes = Buffer.isBuffer(answer.body)
      ? answer.body
      : Buffer.from(JSON.stringify(answer.body ?? {}));
    response.writeHead(answer.status, {
      'content-type': 'application/json',
      'content-length': bytes.length,
    });
    response.end(bytes);
  });
  server.keepAliveTimeout = 60_000;
  await new Promise((resolve) => {
    server.listen(wanted, HOST, resolve);
  });
  return {
    address: `${HOST}:${server.address().port}`,
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}

function listen(port) {
  return new Promise((resolve) => {
    const server = createNetServer();
    server.once('error', () => resolve(undefined));
    server.listen(port, HOST, () => resolve(server));
  });
}

/** Finds a block of free ports in a row; returns the first. */
export async function findPorts(count) {
  for (let attempt = 0; attempt < 200; attempt += 1) {
    const first = 20_000 + Math.floor(Math.random() * 10_000);
    const found = await Promise.all(
      Array.from({ length: count }, (_, index) => listen(first + index)),
    );
    const open = found.filter((server) => server !== undefined);
    await Promise.all(open.map((server) => new Promise((resolve) => server.close(resolve))));
    if (open.length === count) return first;
  }
  throw new Error('no free ports');
}

const agent = new Agent({ keepAlive: false });

/** Sends a call; resolves to `{ status, body }`, or to `{ status: 0, error }` without an answer. */
export function call(address, method, path, { headers = {}, body, timeoutMs = 5_000 } = {}) {
  const [host, port] = address.split(':');
  const bytes = body === undefined ? undefined : Buffer.from(JSON.stringify(body));
  return new Promise((resolve) => {
    const request = requestHttp({
      agent,
      host,
      port,
      method,
      path,
      headers: {
        ...headers,
        ...(bytes === undefined
          ? {}
          : { 'content-type': 'application/json', 'content-length': bytes.length }),
      },
    });
    const timer = setTimeout(() => request.destroy(new Error('timeout')), timeoutMs);
    const finish = (result) => {
      clearTimeout(timer);
      resolve(result);
    };
    request.once('error', (error) => finish({ status: 0, error: error.code ?? error.message }));
    request.once('response', async (message) => {
      const answer = await readAll(message);
      let json;
      try {
        json = JSON.parse(String(answer));
      } catch {
        json = undefined;
      }
      finish({ status: message.statusCode, body: json });
    });
    request.end(bytes);
  });
}
