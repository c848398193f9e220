/** What each fault does to the bytes of a request's head, its body, or the answer. */
import type { Socket } from 'node:net';
import type { FaultName } from './faults.js';

/** One connection through the proxy with the request that is on it. */
export interface Link {
  readonly client: Socket;
  readonly server: Socket;
  requests: number;
  /** Bytes of a head that is not whole yet; undefined while a body or an answer passes. */
  head: Buffer | undefined;
  fault: FaultName | undefined;
  bodyBytes: number;
  passedBody: number;
  hasAnswered: boolean;
  /** Bytes of the answer that are still to come; undefined before its head. */
  answerLeft: number | undefined;
  /** Whether bytes are dropped in both directions. */
  isSilent: boolean;
}

/** Whether the fault has dealt with the bytes, or they are to be passed on. */
export type FaultEffect = 'taken' | 'passed';

/** Actions by fault. */
export type FaultActions = Readonly<
  Partial<Record<FaultName, (link: Link, bytes: Buffer) => FaultEffect>>
>;

/** Delay of `delay-answer`, in milliseconds. */
export const ANSWER_DELAY_MS = 20;
/** Delay of `late-answer`, longer than the deadlines used with it, in milliseconds. */
export const LATE_ANSWER_MS = 800;

const HEAD_END = '\r\n\r\n';
const DRIP_BYTES = 7;
const DRIPPED_BYTES = 700;
const STRAY_DELAY_MS = 1;
const STRAY_ANSWER = 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray';
const GARBAGE = 'no answer of this protocol\r\n\r\n';

/** Resets a socket; one that is shutting down can only be closed. */
export function closeSocketBroken(socket: Socket): void {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}

/** Resets both ends of a link. */
export function closeBroken(link: Link): void {
  closeSocketBroken(link.client);
  closeSocketBroken(link.server);
}

/** Passes bytes on, no faster than they are taken. */
export function sendBytes(from: Socket, to: Socket, bytes: Buffer): void {
  if (to.destroyed || to.write(bytes)) return;
  const startAgain = () => {
    to.off('drain', startAgain);
    to.off('close', startAgain);
    from.resume();
  };
  from.pause();
  to.once('drain', startAgain);
  to.once('close', startAgain);
}

/** Passes bytes on, the first ones in many small writes. */
function sendSlowly(to: Socket, bytes: Buffer): FaultEffect {
  const dripped = Math.min(bytes.length, DRIPPED_BYTES);
  for (let start = 0; start < dripped; start += DRIP_BYTES) {
    to.write(bytes.subarray(start, Math.min(start + DRIP_BYTES, dripped)));
  }
  to.write(bytes.subarray(dripped));
  return 'taken';
}

/** Holds an answer back for a time. */
function sendLater({ client, server }: Link, bytes: Buffer, delayMs: number): FaultEffect {
  server.pause();
  setTimeout(() => {
    client.write(bytes);
    server.resume();
  }, delayMs);
  return 'taken';
}

/** Drops all that follows on a link. */
function stopPassing(link: Link): FaultEffect {
  link.isSilent = true;
  return 'taken';
}

/** Sends part of an answer and resets the link. */
function sendThenReset(link: Link, bytes: Buffer): FaultEffect {
  link.client.write(bytes, () => closeBroken(link));
  return 'taken';
}

/** Sends part of an answer and closes the connection in order. */
function sendThenClose(link: Link, bytes: Buffer): FaultEffect {
  link.client.end(bytes);
  return stopPassing(link);
}

/** Finds the middle of an answer's head. */
function findMiddleOfHead(bytes: Buffer): number {
  return Math.floor((bytes.indexOf(HEAD_END) + HEAD_END.length) / 2);
}

/** Finds the middle of the body bytes that came with an answer's head. */
function findMiddleOfBody(bytes: Buffer): number {
  const headEnd = bytes.indexOf(HEAD_END) + HEAD_END.length;
  return headEnd + Math.floor((bytes.length - headEnd) / 2);
}

/** Counts bytes of an answer with a declared length; true when they are its last. */
function observeAnswerBytes(link: Link, bytes: Buffer): boolean {
  const headEnd = bytes.indexOf(HEAD_END) + HEAD_END.length;
  const declared = /content-length: *(\d+)/i.exec(bytes.subarray(0, headEnd).toString('latin1'));
  link.answerLeft ??= headEnd + Number(declared?.[1] ?? 0);
  link.answerLeft -= bytes.length;
  return link.answerLeft <= 0;
}

/** Passes an answer on and does something after its last byte. */
function sendWholeThen(link: Link, bytes: Buffer, act: () => void): FaultEffect {
  if (!observeAnswerBytes(link, bytes)) return 'passed';
  link.client.write(bytes, act);
  return 'taken';
}

/** Faults that strike when a request's head is whole. */
export const HEAD_FAULTS: FaultActions = {
  'reset-before-head': (link) => {
    closeBroken(link);
    return 'taken';
  },
  'reset-in-head': (link, head) => {
    link.server.write(head.subarray(0, head.length / 2), () => closeBroken(link));
    return stopPassing(link);
  },
  'reset-after-head': (link, head) => {
    link.server.write(head, () => closeBroken(link));
    return stopPassing(link);
  },
  'swallow-request': stopPassing,
  'half-close': (link) => {
    link.client.end();
    return 'passed';
  },
  'drip-request': (link, head) => sendSlowly(link.server, head),
};

/** Faults that strike while a request's body passes. */
export const BODY_FAULTS: FaultActions = {
  'reset-in-body': (link, chunk) => {
    const half = Math.floor(link.bodyBytes / 2) - link.passedBody;
    if (half > chunk.length) return 'passed';
    link.server.write(chunk.subarray(0, Math.max(0, half)), () => closeBroken(link));
    return stopPassing(link);
  },
  'reset-after-request': (link, chunk) => {
    if (link.passedBody + chunk.length < link.bodyBytes) return 'passed';
    link.server.write(chunk, () => closeSocketBroken(link.client));
    return stopPassing(link);
  },
};

/** Faults that strike when bytes of an answer come. */
export const ANSWER_FAULTS: FaultActions = {
  'reset-before-answer': (link) => {
    closeBroken(link);
    return 'taken';
  },
  'reset-in-answer-head': (link, bytes) =>
    sendThenReset(link, bytes.subarray(0, findMiddleOfHead(bytes))),
  'cut-in-answer-head': (link, bytes) =>
    sendThenClose(link, bytes.subarray(0, findMiddleOfHead(bytes))),
  'reset-in-answer-body': (link, bytes) =>
    sendThenReset(link, bytes.subarray(0, findMiddleOfBody(bytes))),
  'cut-in-answer-body': (link, bytes) =>
    sendThenClose(link, bytes.subarray(0, findMiddleOfBody(bytes))),
  'swallow-answer': stopPassing,
  'late-answer': (link, bytes) => sendLater(link, bytes, LATE_ANSWER_MS),
  'delay-answer': (link, bytes) => sendLater(link, bytes, ANSWER_DELAY_MS),
  'drip-answer': (link, bytes) => sendSlowly(link.client, bytes),
  'close-after-answer': (link, bytes) => sendWholeThen(link, bytes, () => void link.client.end()),
  'reset-after-answer': (link, bytes) =>
    sendWholeThen(link, bytes, () => void setTimeout(() => closeBroken(link), STRAY_DELAY_MS)),
  'stray-answer': (link, bytes) => {
    const sendStray = () => void link.client.write(STRAY_ANSWER);
    return sendWholeThen(link, bytes, () => void setTimeout(sendStray, STRAY_DELAY_MS));
  },
  'garbage-answer': (link) => sendThenClose(link, Buffer.from(GARBAGE)),
};
