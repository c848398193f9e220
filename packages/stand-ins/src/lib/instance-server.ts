/**
 * Stand-in for the platform's instance list. `GET /instances` answers `{"instances": [...]}` as they
 * were `lagMs` ago; `PUT /instances` replaces the list.
 */
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
}

/** Starts the instance list stand-in. */
export async function startInstanceServer(lagMs = 0, port = 0): Promise<InstanceServer> {
  let shown: readonly Instance[] = [];
  const setInstances = (instances: readonly Instance[]) => {
    if (lagMs === 0) shown = instances;
    else
      setTimeout(() => {
        shown = instances;
      }, lagMs);
  };
  const handlePut: Handler = async (request, response) => {
    setInstances(JSON.parse(await readBody(request)) as Instance[]);
    answerJson(response, 200, {});
  };
  const handle: Handler = (request, response) => {
    if (request.method === 'PUT') handlePut(request, response);
    else answerJson(response, 200, { instances: shown });
  };
  const server = await startServer(handle, port);
  return { ...server, setInstances };
}
