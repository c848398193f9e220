/**
 * Streams an upstream's response to the caller with back-pressure. A truncated response resets the
 * caller's connection, so that the caller cannot mistake it for a complete one.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { buildResponseHeaders, selectTrailers } from './headers.js';

/** Whether the upstream's response was forwarded completely or was truncated. */
export type StreamEnd = 'whole' | 'cut';

/** Aborts a response that has begun by resetting its connection, so that truncation is visible. */
export function closeTruncated(response: ServerResponse): void {
  const { socket } = response;
  if (socket === null || socket.writableEnded) response.destroy();
  else socket.resetAndDestroy();
}

/** What forwarding a response depends on besides the response itself. */
export interface ResponseContext {
  /** Whether the caller's connection closes after the response. */
  readonly isClosing: boolean;
  /** Whether the upstream sent bytes beyond the end of its response. */
  readonly hasExcess: () => boolean;
}

/**
 * Forwards an upstream's response to the caller. Resolves once the upstream's response has ended,
 * which may be before the caller has read all of it. After `cut`, the response to the caller is
 * still open; `closeTruncated` ends it.
 */
export function sendResponse(
  upstreamResponse: IncomingMessage,
  response: ServerResponse,
  { isClosing, hasExcess }: ResponseContext,
): Promise<StreamEnd> {
  return new Promise((resolve) => {
    const headers = buildResponseHeaders(upstreamResponse);
    if (isClosing) headers.push('Connection', 'close');
    response.writeHead(
      upstreamResponse.statusCode ?? 0,
      upstreamResponse.statusMessage ?? '',
      headers,
    );
    const handleTruncation = () => {
      if (upstreamResponse.complete && upstreamResponse.readableEnded) return;
      resolve('cut');
    };
    upstreamResponse.on('data', (chunk: Buffer) => {
      // Withholds the remaining bytes: they would make the response look complete to the caller.
      if (hasExcess()) {
        resolve('cut');
        return;
      }
      if (!response.write(chunk)) upstreamResponse.pause();
    });
    response.on('drain', () => upstreamResponse.resume());
    upstreamResponse.on('error', handleTruncation);
    upstreamResponse.once('close', handleTruncation);
    upstreamResponse.once('end', () => {
      if (!upstreamResponse.complete || hasExcess()) {
        resolve('cut');
        return;
      }
      selectTrailers(upstreamResponse.rawTrailers).forEach(([name, value]) =>
        response.addTrailers({ [name]: value }),
      );
      response.end();
      resolve('whole');
    });
  });
}
