/** Adapter from the `LogService` port to the platform's log service over HTTP. */
import type { LogService, LogSlice } from 'vanilladock';
import { sendJson } from './http-json.js';

const APPEND_TIMEOUT_MS = 5_000;
const READ_TIMEOUT_MARGIN_MS = 2_000;

/** Creates a client of the log service at `ip:port`. */
export function createLogClient(address: string): LogService {
  return {
    append: async (texts) => {
      const call = {
        address,
        method: 'POST',
        path: '/records',
        body: { texts },
        cause: 'log',
      } as const;
      const result = await sendJson<{ offset: number }>({ ...call, timeoutMs: APPEND_TIMEOUT_MS });
      return result.map(({ offset }) => offset);
    },
    read: (from, waitMs) =>
      sendJson<LogSlice>({
        address,
        method: 'GET',
        path: `/records?from=${from}&waitMs=${waitMs}`,
        timeoutMs: waitMs + READ_TIMEOUT_MARGIN_MS,
        cause: 'log',
      }),
  };
}
