/**
 * Stand-in for the platform's instance list. `GET /instances` answers `{"instances": [...]}` as they
 * were `lagMs` ago, compressed where the caller accepts it, and 304 to the current entity tag;
 * `PUT /instances` replaces the list.
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

/** A running instance list stand-in. */
export interface InstanceServer extends RunningServer {
  readonly setInstances: (instances: readonly Instance[]) => void;
  /** While set, calls are answered with 503. */
  readonly setDown: (isDown: boolean) => void;
}

/** Bodies of the list as shown, and their entity tag. */
interface ShownList {
  readonly plain: Buffer;
  readonly compressed: Buffer;
  readonly tag: string;
}

/** Encodes a list. */
function encodeList(instances: readonly Instance[]): ShownList {
  const plain = Buffer.from(JSON.stringify({ instances }));
  const tag = `"${createHash('sha256').update(plain).digest('hex').slice(0, 16)}"`;
  return { plain, compressed: gzipSync(plain), tag };
}

/** Starts the instance list stand-in. */
export async function startInstanceServer(lagMs = 0, port = 0): Promise<InstanceServer> {
  let shown = encodeList([]);
  let isDown = false;
  const setInstances = (instances: readonly Instance[]) => {
    const apply = () => {
      shown = encodeList(instances);
    };
    if (lagMs === 0) apply();
    else setTimeout(apply, lagMs);
  };
  const handlePut: Handler = async (request, response) => {
    setInstances(JSON.parse(await readBody(request)) as Instance[]);
    answerJson(response, 200, {});
  };
  const answerList: Handler = (request, response) => {
    if (request.headers['if-none-match'] === shown.tag) {
      response.writeHead(304, { etag: shown.tag }).end();
      return;
    }
    const isCompressed = String(request.headers['accept-encoding'] ?? '').includes('gzip');
    const headers = { 'content-type': 'application/json', etag: shown.tag };
    const encoding = isCompressed ? { 'content-encoding': 'gzip' } : {};
    response.writeHead(200, { ...headers, ...encoding });
    response.end(isCompressed ? shown.compressed : shown.plain);
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
