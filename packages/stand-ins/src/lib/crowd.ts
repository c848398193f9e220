/**
 * Stand-in for callers that do not behave: many connections that send bytes and neither end what they
 * have begun nor read an answer.
 */
import { connect, type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';

/** A crowd of connections. */
export interface CrowdOptions {
  /** Address that it connects to, `ip:port`. */
  readonly address: string;
  readonly connections: number;
  /** Bytes that each connection sends; what the other side does not read waits here. */
  readonly bytes: Buffer;
  /** Time from the opening of all connections to their first byte; without it each sends at once. */
  readonly silentMs?: number;
}

/** An open crowd. */
export interface Crowd {
  /** Closes all connections. */
  readonly close: () => void;
}

/** Connections that are opened in one turn of the event loop. */
const CONNECTIONS_PER_TURN = 50;

/** Opens a connection that reads nothing. */
function openConnection({ address }: CrowdOptions): Socket {
  const [host, port] = address.split(':');
  const socket = connect({ host: host ?? '', port: Number(port), allowHalfOpen: true });
  socket.on('error', () => {});
  socket.once('connect', () => socket.pause());
  return socket;
}

/** Opens a crowd; resolves when all connections have been begun and send. */
export async function openCrowd(options: CrowdOptions): Promise<Crowd> {
  const { bytes, silentMs } = options;
  const sockets: Socket[] = [];
  while (sockets.length < options.connections) {
    const missing = options.connections - sockets.length;
    const count = Math.min(missing, CONNECTIONS_PER_TURN);
    const opened = Array.from({ length: count }, () => openConnection(options));
    if (silentMs === undefined) opened.forEach((socket) => socket.write(bytes));
    sockets.push(...opened);
    await new Promise(setImmediate);
  }
  if (silentMs !== undefined) {
    await delay(silentMs);
    sockets.forEach((socket) => socket.write(bytes));
  }
  return {
    close: () => sockets.forEach((socket) => socket.resetAndDestroy()),
  };
}

/** Makes the bytes of a chunked body that stops short of its end. */
export function makeUnendedBody(head: string, chunkBytes: number, chunks: number): Buffer {
  const chunk = `${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`;
  return Buffer.from(`${head}Transfer-Encoding: chunked\r\n\r\n${chunk.repeat(chunks)}`);
}
