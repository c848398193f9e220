/**
 * Counts the bytes that an entry spends on control, by cause: what it sends and receives for other
 * purposes than callers' requests. Counts are payload and protocol headers above TCP or UDP.
 */
import type { ClientRequest } from 'node:http';

/** Why control bytes are spent. */
export type ControlCause = 'log' | 'instances' | 'exchange' | 'catch-up' | 'pools' | 'workers';

/** Bytes sent and received since start, by cause. */
export type ControlBytes = ReadonlyMap<ControlCause, number>;

/** A counter of control bytes. */
export interface ControlMeter {
  readonly addBytes: (cause: ControlCause, bytes: number) => void;
  readonly getBytes: () => ControlBytes;
}

/** Creates a counter. */
export function createControlMeter(): ControlMeter {
  const counts = new Map<ControlCause, number>();
  return {
    addBytes: (cause, bytes) => {
      counts.set(cause, (counts.get(cause) ?? 0) + bytes);
    },
    getBytes: () => counts,
  };
}

/** The counter of this process. */
export const controlMeter = createControlMeter();

/** Counts the bytes that one call moves over its connection, which others may have used before. */
export function observeCallBytes(outgoing: ClientRequest, cause: ControlCause): void {
  outgoing.once('socket', (socket) => {
    const before = socket.bytesRead + socket.bytesWritten;
    outgoing.once('close', () => {
      controlMeter.addBytes(cause, socket.bytesRead + socket.bytesWritten - before);
    });
  });
}
