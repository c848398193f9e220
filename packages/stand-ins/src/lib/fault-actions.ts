/** The effect of each fault on the bytes of a request's head, its body or the answer. */
import type { Socket } from 'node:net';
import type { FaultName } from './faults.js';

/** A proxied connection and the state of its current request. */
export interface ProxiedConnection {
  /** Connection from the entry. */
  readonly client: Socket;
  /** Connection to the upstream. */
  readonly server: Socket;
  /** Number of requests on the connection so far. */
  requests: number;
  /** Bytes received of an incomplete head; undefined while a body or an answer is forwarded. */
  head: Buffer | undefined;
  /** Fault chosen for the current request. */
  fault: FaultName | undefined;
  /** Declared length of the request's body. */
  bodyBytes: number;
  /** Number of bytes of the request's body that were handled so far. */
  passedBody: number;
  /** Whether bytes of the answer have arrived; bytes from the client then start a new request. */
  hasAnswered: boolean;
  /** Bytes of the answer that are still to come; undefined before its first bytes are counted. */
  answerLeft: number | undefined;
  /** Whether bytes are dropped in both directions. */
  isSilent: boolean;
}

/** Whether the fault has handled the bytes or the proxy is to forward them. */
export type FaultEffect = 'handled' | 'forward';

/** Effects by fault name. */
export type FaultActions = Readonly<
  Partial<Record<FaultName, (connection: ProxiedConnection, bytes: Buffer) => FaultEffect>>
>;

/** Delay that `delay-answer` adds to each chunk of an answer, in milliseconds. */
export const ANSWER_DELAY_MS = 20;
/**
 * Delay that `late-answer` adds to each chunk of an answer, in milliseconds; exceeds the deadlines
 * of the requests that use it.
 */
export const LATE_ANSWER_MS = 800;

const HEAD_END = '\r\n\r\n';
const DRIP_BYTES = 7;
const DRIPPED_BYTES = 700;
const AFTER_ANSWER_DELAY_MS = 1;
const UNSOLICITED_ANSWER = 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray';
const GARBAGE_ANSWER = 'no answer of this protocol\r\n\r\n';

/** Resets a socket. One whose write side has ended is destroyed instead. */
export function resetSocket(socket: Socket): void {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}

/** Resets both sockets of a proxied connection. */
export function resetConnection(connection: ProxiedConnection): void {
  resetSocket(connection.client);
  resetSocket(connection.server);
}

/** Forwards bytes and pauses the source while the destination applies back pressure. */
export function sendBytes(source: Socket, destination: Socket, bytes: Buffer): void {
  if (destination.destroyed || destination.write(bytes)) return;
  const startReading = () => {
    destination.off('drain', startReading);
    destination.off('close', startReading);
    source.resume();
  };
  source.pause();
  destination.once('drain', startReading);
  destination.once('close', startReading);
}

/** Forwards bytes without a delay, the first `DRIPPED_BYTES` of them in writes of `DRIP_BYTES`. */
function sendInSmallWrites(destination: Socket, bytes: Buffer): FaultEffect {
  const drippedBytes = Math.min(bytes.length, DRIPPED_BYTES);
  for (let start = 0; start < drippedBytes; start += DRIP_BYTES) {
    destination.write(bytes.subarray(start, Math.min(start + DRIP_BYTES, drippedBytes)));
  }
  destination.write(bytes.subarray(drippedBytes));
  return 'handled';
}

/** Forwards a chunk of an answer after a delay and reads no more of the answer until then. */
function sendLater(
  { client, server }: ProxiedConnection,
  bytes: Buffer,
  delayMs: number,
): FaultEffect {
  server.pause();
  setTimeout(() => {
    client.write(bytes);
    server.resume();
  }, delayMs);
  return 'handled';
}

/** Drops all further bytes of a connection in both directions. */
function dropFurtherBytes(connection: ProxiedConnection): FaultEffect {
  connection.isSilent = true;
  return 'handled';
}

/** Sends part of an answer, then resets the connection. */
function sendThenReset(connection: ProxiedConnection, bytes: Buffer): FaultEffect {
  connection.client.write(bytes, () => resetConnection(connection));
  return 'handled';
}

/** Sends part of an answer, then closes the client connection with a FIN. */
function sendThenClose(connection: ProxiedConnection, bytes: Buffer): FaultEffect {
  connection.client.end(bytes);
  return dropFurtherBytes(connection);
}

/** Finds the offset of the middle of an answer's head. */
function findMiddleOfHead(bytes: Buffer): number {
  return Math.floor((bytes.indexOf(HEAD_END) + HEAD_END.length) / 2);
}

/** Finds the offset of the middle of the body bytes that arrived with an answer's head. */
function findMiddleOfBody(bytes: Buffer): number {
  const headEnd = bytes.indexOf(HEAD_END) + HEAD_END.length;
  return headEnd + Math.floor((bytes.length - headEnd) / 2);
}

/** Counts the bytes of an answer with a declared length; returns true once it is complete. */
function observeAnswerBytes(connection: ProxiedConnection, bytes: Buffer): boolean {
  const headEnd = bytes.indexOf(HEAD_END) + HEAD_END.length;
  const declared = /content-length: *(\d+)/i.exec(bytes.subarray(0, headEnd).toString('latin1'));
  connection.answerLeft ??= headEnd + Number(declared?.[1] ?? 0);
  connection.answerLeft -= bytes.length;
  return connection.answerLeft <= 0;
}

/** Forwards an answer and runs an action once its last bytes are written. */
function sendWholeAnswerThen(
  connection: ProxiedConnection,
  bytes: Buffer,
  action: () => void,
): FaultEffect {
  if (!observeAnswerBytes(connection, bytes)) return 'forward';
  connection.client.write(bytes, action);
  return 'handled';
}

/** Faults that take effect when a request's head is complete; they receive the head. */
export const HEAD_FAULTS: FaultActions = {
  'reset-before-head': (connection) => {
    resetConnection(connection);
    return 'handled';
  },
  'reset-in-head': (connection, head) => {
    connection.server.write(head.subarray(0, head.length / 2), () => resetConnection(connection));
    return dropFurtherBytes(connection);
  },
  'reset-after-head': (connection, head) => {
    connection.server.write(head, () => resetConnection(connection));
    return dropFurtherBytes(connection);
  },
  'swallow-request': dropFurtherBytes,
  'half-close': (connection) => {
    connection.client.end();
    return 'forward';
  },
  'drip-request': (connection, head) => sendInSmallWrites(connection.server, head),
};

/**
 * Faults that take effect while a request's body is forwarded; they receive each chunk of it. For a
 * request without a body, `reset-after-request` receives an empty chunk and `reset-in-body` has no
 * effect. `reset-after-request` resets only the client connection, so that the request still runs.
 */
export const BODY_FAULTS: FaultActions = {
  'reset-in-body': (connection, chunk) => {
    const bytesToMiddle = Math.floor(connection.bodyBytes / 2) - connection.passedBody;
    if (bytesToMiddle > chunk.length) return 'forward';
    connection.server.write(chunk.subarray(0, Math.max(0, bytesToMiddle)), () =>
      resetConnection(connection),
    );
    return dropFurtherBytes(connection);
  },
  'reset-after-request': (connection, chunk) => {
    if (connection.passedBody + chunk.length < connection.bodyBytes) return 'forward';
    connection.server.write(chunk, () => resetSocket(connection.client));
    return dropFurtherBytes(connection);
  },
};

/** Faults that take effect when bytes of an answer arrive; they receive each chunk of it. */
export const ANSWER_FAULTS: FaultActions = {
  'reset-before-answer': (connection) => {
    resetConnection(connection);
    return 'handled';
  },
  'reset-in-answer-head': (connection, bytes) =>
    sendThenReset(connection, bytes.subarray(0, findMiddleOfHead(bytes))),
  'cut-in-answer-head': (connection, bytes) =>
    sendThenClose(connection, bytes.subarray(0, findMiddleOfHead(bytes))),
  'reset-in-answer-body': (connection, bytes) =>
    sendThenReset(connection, bytes.subarray(0, findMiddleOfBody(bytes))),
  'cut-in-answer-body': (connection, bytes) =>
    sendThenClose(connection, bytes.subarray(0, findMiddleOfBody(bytes))),
  'swallow-answer': dropFurtherBytes,
  'late-answer': (connection, bytes) => sendLater(connection, bytes, LATE_ANSWER_MS),
  'delay-answer': (connection, bytes) => sendLater(connection, bytes, ANSWER_DELAY_MS),
  'drip-answer': (connection, bytes) => sendInSmallWrites(connection.client, bytes),
  'close-after-answer': (connection, bytes) =>
    sendWholeAnswerThen(connection, bytes, () => void connection.client.end()),
  'reset-after-answer': (connection, bytes) =>
    sendWholeAnswerThen(
      connection,
      bytes,
      () => void setTimeout(() => resetConnection(connection), AFTER_ANSWER_DELAY_MS),
    ),
  'stray-answer': (connection, bytes) => {
    const sendUnsolicited = () => void connection.client.write(UNSOLICITED_ANSWER);
    return sendWholeAnswerThen(
      connection,
      bytes,
      () => void setTimeout(sendUnsolicited, AFTER_ANSWER_DELAY_MS),
    );
  },
  'garbage-answer': (connection) => sendThenClose(connection, Buffer.from(GARBAGE_ANSWER)),
};
