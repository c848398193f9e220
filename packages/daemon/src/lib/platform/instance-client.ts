/**
 * Adapter from the `InstanceList` port to the platform's instance list over HTTP. Requests carry
 * the entity tag of the last list, so that frequent polling of an unchanged list costs little.
 */
import { Ok } from 'ts-results-es';
import type { Instance, InstanceList } from 'vanilladock';
import { sendTagged } from './http-json.js';

const FETCH_TIMEOUT_MS = 5_000;

/**
 * Creates a client of the instance list at `ip:port`; returns the same array while it is unchanged.
 */
export function createInstanceClient(address: string): InstanceList {
  let lastInstances: readonly Instance[] = [];
  let lastTag: string | undefined;
  return {
    fetch: async () => {
      const result = await sendTagged<{ instances: Instance[] }>({
        address,
        method: 'GET',
        path: '/instances',
        timeoutMs: FETCH_TIMEOUT_MS,
        cause: 'instances',
        ...(lastTag === undefined ? {} : { knownTag: lastTag }),
      });
      if (result.isErr()) return result;
      const answer = result.value;
      if (answer.kind === 'value') {
        lastInstances = answer.value.instances;
        lastTag = answer.tag;
      }
      return Ok(lastInstances);
    },
  };
}
