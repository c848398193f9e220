/**
 * Stand-in for the platform's instance list. `GET /instances` answers `{"instances": [...]}` as of
 * `lagMs` ago, compressed if the client accepts gzip, or 304 if `If-None-Match` holds the current
 * entity tag; `PUT /instances` replaces the list.
 */
import { createHash } from 'node:crypto';
import { gzipSync } from 'node:zlib';
import type { Instance } from 'vanilladock';
import {
  answerJson,
  readBody,
  startServer,
  type Handler,
  type RunningServer,
} from './json-server.js';

/** A running stand-in for the instance list. */
export interface InstanceServer extends RunningServer {
  readonly setInstances: (instances: readonly Instance[]) => void;
  /** While set, every request is answered with 503. */
  readonly setDown: (isDown: boolean) => void;
}

/** The response bodies of a list and their entity tag. */
interface EncodedList {
  readonly plain: Buffer;
  readonly compressed: Buffer;
  readonly etag: string;
}

/** Encodes a list plain and compressed. */
function encodeList(instances: readonly Instance[]): EncodedList {
  const plain = Buffer.from(JSON.stringify({ instances }));
  const etag = `"${createHash('sha256').update(plain).digest('hex').slice(0, 16)}"`;
  return { plain, compressed: gzipSync(plain), etag };
}

/**
 * Starts the instance list stand-in. A new list is served after `lagMs` milliseconds; with `port` 0
 * the kernel chooses the port.
 */
export async function startInstanceServer(lagMs = 0, port = 0): Promise<InstanceServer> {
  let currentList = encodeList([]);
  let isDown = false;
  const setInstances = (instances: readonly Instance[]) => {
    const setCurrentList = () => {
      currentList = encodeList(instances);
    };
    if (lagMs === 0) setCurrentList();
    else setTimeout(setCurrentList, lagMs);
  };
  const handlePut: Handler = async (request, response) => {
    setInstances(JSON.parse(await readBody(request)) as Instance[]);
    answerJson(response, 200, {});
  };
  const answerList: Handler = (request, response) => {
    if (request.headers['if-none-match'] === currentList.etag) {
      response.writeHead(304, { etag: currentList.etag }).end();
      return;
    }
    const acceptsGzip = String(request.headers['accept-encoding'] ?? '').includes('gzip');
    const headers = { 'content-type': 'application/json', etag: currentList.etag };
    const encoding = acceptsGzip ? { 'content-encoding': 'gzip' } : {};
    response.writeHead(200, { ...headers, ...encoding });
    response.end(acceptsGzip ? currentList.compressed : currentList.plain);
  };
  const handle: Handler = (request, response) => {
    if (isDown) answerJson(response, 503, { message: 'down' });
    else if (request.method === 'PUT') handlePut(request, response);
    else answerList(request, response);
  };
  const server = await startServer(handle, port);
  return {
    ...server,
    setInstances,
    setDown: (value) => {
      isDown = value;
    },
  };
}
