/**
 * Counts an entry's control traffic in bytes, by cause: everything that it sends and receives other
 * than callers' requests. The counts include payload and protocol headers above TCP or UDP.
 */
import type { ClientRequest } from 'node:http';

/** Purpose of control traffic. */
export type ControlCause = 'log' | 'instances' | 'exchange' | 'catch-up' | 'pools' | 'workers';

/** Bytes sent and received since the process started, by cause. */
export type ControlBytes = ReadonlyMap<ControlCause, number>;

/** Counts control traffic by cause. */
export interface ControlMeter {
  readonly addBytes: (cause: ControlCause, bytes: number) => void;
  readonly getBytes: () => ControlBytes;
}

/** Creates a meter with no counts. */
export function createControlMeter(): ControlMeter {
  const counts = new Map<ControlCause, number>();
  return {
    addBytes: (cause, bytes) => {
      counts.set(cause, (counts.get(cause) ?? 0) + bytes);
    },
    getBytes: () => counts,
  };
}

/** The meter of this process. */
export const controlMeter = createControlMeter();

/**
 * Counts the bytes of one call when it closes, as the difference of its socket's totals, since a
 * kept-alive connection has carried earlier calls.
 */
export function observeCallBytes(outgoing: ClientRequest, cause: ControlCause): void {
  outgoing.once('socket', (socket) => {
    const bytesBefore = socket.bytesRead + socket.bytesWritten;
    outgoing.once('close', () => {
      controlMeter.addBytes(cause, socket.bytesRead + socket.bytesWritten - bytesBefore);
    });
  });
}
