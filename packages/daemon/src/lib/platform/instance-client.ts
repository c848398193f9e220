/** Adapter from the `InstanceList` port to the platform's instance list over HTTP. */
import type { Instance, InstanceList } from 'vanilladock';
import { sendJson } from './http-json.js';

const FETCH_TIMEOUT_MS = 5_000;

/** Creates a client of the instance list at `ip:port`. */
export function createInstanceClient(address: string): InstanceList {
  return {
    fetch: async () => {
      const call = { address, method: 'GET', path: '/instances' } as const;
      const result = await sendJson<{ instances: Instance[] }>({
        ...call,
        timeoutMs: FETCH_TIMEOUT_MS,
      });
      return result.map(({ instances }) => instances);
    },
  };
}
