/**
 * Open calls by connection, and how far connections are read. A caller may send any number of calls
 * without waiting for answers. Read all at once, those of a few connections would keep the process
 * from everything else for seconds, and from its deadlines when it stops; so a connection with many
 * open calls is read on only when they have been answered. What has arrived on the others may be as
 * much: from then on they are read one after the other, with turns of the event loop for new ones
 * after each that had many calls.
 */
import type { Server } from 'node:http';
import type { Socket } from 'node:net';
import { waitArrived, waitInput } from './servers.js';

/** Open calls of a server by connection. */
export interface ConnectionCalls {
  /** Adds an open call; `handleClose` is called when its connection closes before `remove`. */
  readonly add: (socket: Socket, handleClose: () => void) => void;
  readonly remove: (socket: Socket, handleClose: () => void) => void;
  /** Says whether a connection has one open call and has been read as far as calls have arrived. */
  readonly hasLastCall: (socket: Socket) => boolean;
  /** Counts the connections that are not read for now, as they have many open calls or had. */
  readonly countHeld: () => number;
  /** Reads nothing more on any connection; the calls that have been read go on. */
  readonly stopReading: () => void;
}

/**
 * Open calls of a connection from which on it is not read. What has come in one piece, up to 64 KiB,
 * is read all the same.
 */
const MAX_OPEN_CALLS = 64;

/**
 * Connections that may have many open calls, one after the other; further ones are closed when they
 * have as many.
 */
const MAX_KNOWN = 64;

/**
 * Turns of the event loop from one reading of a connection with many calls to the next. One turn
 * accepts one connection, and reads what has arrived on the others.
 */
const TURNS_FOR_OTHERS = 32;

/** Bytes of a connection that is not read which the kernel may hold for the process. */
const UNREAD_BYTES = 131_072;

/** Share of the memory of a process that connections may take which are not read. */
const UNREAD_SHARE = 0.1;

/** Computes how many connections may wait to be read in a process with so much memory, in bytes. */
export function computeMaxWaiting(memoryBytes: number): number {
  return Math.ceil((memoryBytes * UNREAD_SHARE) / UNREAD_BYTES);
}

/** How many connections may wait, and who closes the others. */
export interface WaitingLimit {
  readonly maxWaiting: number;
  readonly close: (socket: Socket) => void;
}

/** Starts to watch the connections of a server; without a limit, any number may wait. */
export function watchConnectionCalls(server: Server, limit?: WaitingLimit): ConnectionCalls {
  const openBySocket = new Map<Socket, Set<() => void>>();
  /** Connections with many open calls. */
  const full = new Set<Socket>();
  /** Connections that are to be read on, one after the other. */
  const waiting = new Set<Socket>();
  /** Open connections that have had many open calls. */
  const known = new Set<Socket>();
  /** Connections that are read on in this turn of the event loop or the next. */
  const resuming = new Set<Socket>();
  let isReading = true;
  let isScheduled = false;
  /** Whether many calls of one connection have been read since the last one was read on. */
  let hasReadMany = false;
  const count = (socket: Socket) => openBySocket.get(socket)?.size ?? 0;
  const isHeld = (socket: Socket) =>
    !isReading || waiting.has(socket) || count(socket) >= MAX_OPEN_CALLS;
  const waitTurns = async () => {
    await waitArrived();
    if (!hasReadMany) return;
    hasReadMany = false;
    await waitInput(Infinity, TURNS_FOR_OTHERS);
  };
  const scheduleNext = () => {
    if (isScheduled || waiting.size === 0) return;
    isScheduled = true;
    void waitTurns().then(readNext);
  };
  /**
   * Reads on the connection that has waited longest, of those that never had many calls if there is
   * one. What it sends is read in the next turn.
   */
  const readNext = () => {
    isScheduled = false;
    const [longest] = waiting;
    const socket = [...waiting].find((candidate) => !known.has(candidate)) ?? longest;
    if (socket === undefined || !isReading) return;
    waiting.delete(socket);
    resuming.add(socket);
    socket.resume();
    void waitArrived().then(() => resuming.delete(socket));
    scheduleNext();
  };
  /** Finds the connection that is closed first: one that had many calls, or was never read, or waits. */
  const findFirstToClose = (): Socket | undefined => {
    const sockets = [...waiting];
    const isNew = (socket: Socket) => socket.bytesRead === 0;
    return sockets.find((socket) => known.has(socket)) ?? sockets.find(isNew) ?? sockets[0];
  };
  /** Says whether no further connection may have many calls. */
  const isCrowded = () =>
    limit !== undefined && (waiting.size >= limit.maxWaiting || known.size >= MAX_KNOWN);
  const closeBeyondLimit = () => {
    while (limit !== undefined && waiting.size > limit.maxWaiting) {
      const socket = findFirstToClose();
      if (socket === undefined) return;
      waiting.delete(socket);
      limit.close(socket);
    }
  };
  const addWaiting = (socket: Socket) => {
    full.delete(socket);
    waiting.add(socket);
    closeBeyondLimit();
    scheduleNext();
  };
  /** Has all other connections wait: what has arrived there may be as much. */
  const addOthers = () => {
    hasReadMany = true;
    [...openBySocket.keys()]
      .filter((socket) => !isHeld(socket))
      .forEach((socket) => {
        waiting.add(socket);
        socket.pause();
      });
    closeBeyondLimit();
    scheduleNext();
  };
  const watchSocket = (socket: Socket): Set<() => void> => {
    const openCalls = new Set<() => void>();
    openBySocket.set(socket, openCalls);
    // Node reads on by itself when a request has been read or answered.
    socket.on('resume', () => {
      if (isHeld(socket)) socket.pause();
    });
    socket.once('close', () => {
      openBySocket.delete(socket);
      waiting.delete(socket);
      full.delete(socket);
      known.delete(socket);
      openCalls.forEach((handleClose) => handleClose());
    });
    if (!isReading) socket.pause();
    return openCalls;
  };
  server.on('connection', watchSocket);
  return {
    add: (socket, handleClose) => {
      const openCalls = openBySocket.get(socket) ?? watchSocket(socket);
      openCalls.add(handleClose);
      if (openCalls.size === MAX_OPEN_CALLS && !known.has(socket) && isCrowded()) {
        hasReadMany = true;
        limit?.close(socket);
        return;
      }
      if (openCalls.size === MAX_OPEN_CALLS) {
        full.add(socket);
        known.add(socket);
        addOthers();
      }
      if (isHeld(socket) && !socket.isPaused()) socket.pause();
    },
    remove: (socket, handleClose) => {
      const openCalls = openBySocket.get(socket);
      if (openCalls?.delete(handleClose) && openCalls.size === MAX_OPEN_CALLS - 1) {
        addWaiting(socket);
      }
    },
    hasLastCall: (socket) => count(socket) === 1 && !isHeld(socket) && !resuming.has(socket),
    countHeld: () => full.size + waiting.size + resuming.size,
    stopReading: () => {
      isReading = false;
      openBySocket.forEach((_, socket) => socket.pause());
    },
  };
}
