/**
 * Streams an upstream's answer to the caller, no faster than the caller reads. An answer that is cut
 * resets the caller's connection, so that it cannot be taken for a whole one.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { buildAnswerHeaders, selectTrailers } from './headers.js';

/** How the passing on of an answer ended. */
export type StreamEnd = 'whole' | 'cut';

/** Ends a begun answer so that the caller sees that it is not whole. */
export function closeBroken(response: ServerResponse): void {
  const { socket } = response;
  if (socket === null || socket.writableEnded) response.destroy();
  else socket.resetAndDestroy();
}

/** What passing an answer on depends on beside the answer. */
export interface AnswerContext {
  /** Whether the caller's connection closes after the answer. */
  readonly isClosing: boolean;
  /** Whether bytes beyond the answer came on its connection. */
  readonly hasExcess: () => boolean;
}

/** Passes an answer on; resolves when the upstream's part is over. */
export function sendAnswer(
  answer: IncomingMessage,
  response: ServerResponse,
  { isClosing, hasExcess }: AnswerContext,
): Promise<StreamEnd> {
  return new Promise((resolve) => {
    const headers = buildAnswerHeaders(answer);
    if (isClosing) headers.push('Connection', 'close');
    response.writeHead(answer.statusCode ?? 0, answer.statusMessage ?? '', headers);
    const handleCut = () => {
      if (answer.complete && answer.readableEnded) return;
      resolve('cut');
    };
    answer.on('data', (chunk: Buffer) => {
      // The last bytes would make the answer whole for the caller.
      if (hasExcess()) {
        resolve('cut');
        return;
      }
      if (!response.write(chunk)) answer.pause();
    });
    response.on('drain', () => answer.resume());
    answer.on('error', handleCut);
    answer.once('close', handleCut);
    answer.once('end', () => {
      if (!answer.complete || hasExcess()) {
        resolve('cut');
        return;
      }
      selectTrailers(answer.rawTrailers).forEach(([name, value]) =>
        response.addTrailers({ [name]: value }),
      );
      response.end();
      resolve('whole');
    });
  });
}
