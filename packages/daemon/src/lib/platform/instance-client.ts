/**
 * Adapter from the `InstanceList` port to the platform's instance list over HTTP. An unchanged list is
 * answered by its entity tag, so that asking often costs little.
 */
import { Ok } from 'ts-results-es';
import type { Instance, InstanceList } from 'vanilladock';
import { sendTagged } from './http-json.js';

const FETCH_TIMEOUT_MS = 5_000;

/** Creates a client of the instance list at `ip:port`. */
export function createInstanceClient(address: string): InstanceList {
  let known: readonly Instance[] = [];
  let knownTag: string | undefined;
  return {
    fetch: async () => {
      const result = await sendTagged<{ instances: Instance[] }>({
        address,
        method: 'GET',
        path: '/instances',
        timeoutMs: FETCH_TIMEOUT_MS,
        cause: 'instances',
        ...(knownTag === undefined ? {} : { knownTag }),
      });
      if (result.isErr()) return result;
      const answer = result.value;
      if (answer.kind === 'value') {
        known = answer.value.instances;
        knownTag = answer.tag;
      }
      return Ok(known);
    },
  };
}
