/**
 * Stand-in for callers that do not behave: many connections that send bytes and neither end what they
 * have begun nor read an answer.
 */
import { connect, type Socket } from 'node:net';

/** A crowd of connections. */
export interface CrowdOptions {
  /** Address that it connects to, `ip:port`. */
  readonly address: string;
  readonly connections: number;
  /** Bytes that each connection sends; what the other side does not read waits here. */
  readonly bytes: Buffer;
}

/** An open crowd. */
export interface Crowd {
  /** Closes all connections. */
  readonly close: () => void;
}

/** Connections that are opened in one turn of the event loop. */
const CONNECTIONS_PER_TURN = 50;

/** Opens a connection that sends its bytes and reads nothing. */
function openConnection({ address, bytes }: CrowdOptions): Socket {
  const [host, port] = address.split(':');
  const socket = connect({ host: host ?? '', port: Number(port), allowHalfOpen: true });
  socket.on('error', () => {});
  socket.once('connect', () => socket.pause());
  socket.write(bytes);
  return socket;
}

/** Opens a crowd; resolves when all connections have been begun. */
export async function openCrowd(options: CrowdOptions): Promise<Crowd> {
  const sockets: Socket[] = [];
  while (sockets.length < options.connections) {
    const missing = options.connections - sockets.length;
    const count = Math.min(missing, CONNECTIONS_PER_TURN);
    sockets.push(...Array.from({ length: count }, () => openConnection(options)));
    await new Promise(setImmediate);
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
