/**
 * The body of a caller's request on its way to an upstream. Up to a small limit the bytes are
 * buffered, so that a retry can send them again; a longer body is streamed and can be sent only
 * once. Reading follows the upstream's back-pressure, so memory use is bounded whatever the length.
 */
import type { ClientRequest, IncomingMessage } from 'node:http';
import { createByteBlocks, type ByteBlocks } from '../byte-blocks.js';
import { readBodyLength, selectTrailers, type BodyLength } from './headers.js';

/** Maximum size of a body that is buffered for a retry, in bytes. */
export const MAX_BUFFERED_BODY_BYTES = 65_536;

/** Why a body could not be read to its end; `cut` means that the connection closed before it. */
export type BodyFault = 'too-large' | 'cut';

/** A request body that can be sent to one upstream request after another. */
export interface RequestBody {
  /** Framing that the caller declared. */
  readonly length: BodyLength;
  /**
   * Sends the body from its first byte; replaces the previous target. After the first target, it
   * may be called only while `isReplayable` returns true.
   */
  readonly sendTo: (target: ClientRequest) => void;
  /** Stops sending; the caller's bytes are not read until there is a new target. */
  readonly detach: () => void;
  /** Whether every byte read so far is still buffered. */
  readonly isReplayable: () => boolean;
  /** Whether the body has ended and is buffered completely. */
  readonly isFullyBuffered: () => boolean;
  /**
   * Sets the callback for a fault; the target has not received the end of the body by then. It may
   * be called more than once; the first fault is the cause.
   */
  readonly setFaultHandler: (handle: (fault: BodyFault) => void) => void;
}

/** Creates the body of a request; the caller's bytes are read only once a target is set. */
export function createRequestBody(incoming: IncomingMessage, maxBytes: number): RequestBody {
  const length = readBodyLength(incoming);
  const isEmpty = length.kind === 'none' || (length.kind === 'declared' && length.bytes === 0);
  let buffered: ByteBlocks | undefined = createByteBlocks();
  let readBytes = 0;
  let hasEnded = isEmpty;
  let isReading = false;
  let target: ClientRequest | undefined;
  let handleFault: (fault: BodyFault) => void = () => {};

  const closeTarget = () => {
    if (target === undefined) return;
    if (incoming.rawTrailers.length > 0) {
      selectTrailers(incoming.rawTrailers).forEach(([name, value]) =>
        target?.addTrailers({ [name]: value }),
      );
    }
    target.end();
  };
  const handleChunk = (chunk: Buffer) => {
    readBytes += chunk.length;
    if (readBytes > maxBytes) {
      incoming.pause();
      handleFault('too-large');
      return;
    }
    if (readBytes > MAX_BUFFERED_BODY_BYTES) buffered = undefined;
    buffered?.add(chunk);
    if (target !== undefined && !target.write(chunk)) incoming.pause();
  };
  const handleEnd = () => {
    hasEnded = true;
    closeTarget();
  };
  const handleClose = () => {
    if (!hasEnded) handleFault('cut');
  };
  const startReading = () => {
    isReading = true;
    incoming.on('data', handleChunk);
    incoming.once('end', handleEnd);
    incoming.once('close', handleClose);
    incoming.on('error', handleClose);
  };
  return {
    length,
    sendTo: (newTarget) => {
      target = newTarget;
      if (isEmpty) {
        newTarget.end();
        return;
      }
      const isWritable =
        buffered
          ?.list()
          .map((chunk) => newTarget.write(chunk))
          .every(Boolean) ?? true;
      newTarget.on('drain', () => {
        if (target === newTarget) incoming.resume();
      });
      if (hasEnded) closeTarget();
      else if (!isReading) startReading();
      else if (isWritable) incoming.resume();
    },
    detach: () => {
      target = undefined;
      if (isReading && !hasEnded) incoming.pause();
    },
    isReplayable: () => buffered !== undefined,
    isFullyBuffered: () => hasEnded && buffered !== undefined,
    setFaultHandler: (handle) => {
      handleFault = handle;
    },
  };
}
