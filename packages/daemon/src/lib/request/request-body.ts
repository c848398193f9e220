/**
 * The body of a caller's request on its way to an upstream. Up to a small limit the bytes are held, so
 * that a retry can send them again; beyond it the body streams and can be sent once only. Reading
 * follows the speed of the upstream, so memory is bounded whatever the length.
 */
import type { ClientRequest, IncomingMessage } from 'node:http';
import { readBodyLength, selectTrailers, type BodyLength } from './headers.js';

/** Bytes of a body that are held for a retry. */
export const HELD_BODY_BYTES = 65_536;

/** Why a body could not be read to its end. */
export type BodyFault = 'too-large' | 'cut';

/** A request body that can be sent to one upstream request after another. */
export interface RequestBody {
  readonly length: BodyLength;
  /** Sends the body from its first byte; replaces the target of earlier bytes. */
  readonly sendTo: (target: ClientRequest) => void;
  /** Stops sending; bytes stay with the caller until there is a new target. */
  readonly detach: () => void;
  /** Whether every byte read so far is still held. */
  readonly isReplayable: () => boolean;
  /** Whether the body has ended and is held whole. */
  readonly isHeldWhole: () => boolean;
  /** Tells of a fault once; the target has not got the end of the body then. */
  readonly setFaultHandler: (handle: (fault: BodyFault) => void) => void;
}

/** Creates the body of a request; the caller's bytes are read only once a target is set. */
export function createRequestBody(incoming: IncomingMessage, maxBytes: number): RequestBody {
  const length = readBodyLength(incoming);
  const isEmpty = length.kind === 'none' || (length.kind === 'declared' && length.bytes === 0);
  let held: Buffer[] | undefined = [];
  let readBytes = 0;
  let hasEnded = isEmpty;
  let isListening = false;
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
    if (readBytes > HELD_BODY_BYTES) held = undefined;
    held?.push(chunk);
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
    isListening = true;
    incoming.on('data', handleChunk);
    incoming.once('end', handleEnd);
    incoming.once('close', handleClose);
    incoming.on('error', handleClose);
  };
  return {
    length,
    sendTo: (next) => {
      target = next;
      if (isEmpty) {
        next.end();
        return;
      }
      const isOpen = held?.map((chunk) => next.write(chunk)).every(Boolean) ?? true;
      next.on('drain', () => {
        if (target === next) incoming.resume();
      });
      if (hasEnded) closeTarget();
      else if (!isListening) startReading();
      else if (isOpen) incoming.resume();
    },
    detach: () => {
      target = undefined;
      if (isListening && !hasEnded) incoming.pause();
    },
    isReplayable: () => held !== undefined,
    isHeldWhole: () => hasEnded && held !== undefined,
    setFaultHandler: (handle) => {
      handleFault = handle;
    },
  };
}
