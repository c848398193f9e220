/** Adapter from the `Pools` port to the platform's pool operations over HTTP. */
import type { PoolError, Pools } from 'vanilladock';
import { Err, Ok } from 'ts-results-es';
import { sendJson } from './http-json.js';

const OPERATION_TIMEOUT_MS = 5_000;

/** Creates a client of the pool operations at `ip:port`. */
export function createPoolClient(address: string): Pools {
  const sendOperation = async (operation: string, instanceId: string, permitId: string) => {
    const body = { operation, instanceId, permitId };
    const call = { address, method: 'POST', path: '/operations', body, cause: 'pools' } as const;
    const result = await sendJson<unknown>({ ...call, timeoutMs: OPERATION_TIMEOUT_MS });
    if (result.isOk()) return Ok(undefined);
    const { kind, message } = result.error;
    const error: PoolError = { kind: kind === 'refused' ? 'refused' : 'unknown', message };
    return Err(error);
  };
  return {
    drain: (instanceId, permitId) => sendOperation('drain', instanceId, permitId),
    reboot: (instanceId, permitId) => sendOperation('reboot', instanceId, permitId),
    restore: (instanceId, permitId) => sendOperation('restore', instanceId, permitId),
  };
}
