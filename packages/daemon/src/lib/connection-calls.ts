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
 * Turns of the event loop from one reading of a connection with many calls to the next. One turn
 * accepts one connection, and reads what has arrived on the others.
 */
const TURNS_FOR_OTHERS = 32;

/** Starts to watch the connections of a server. */
export function watchConnectionCalls(server: Server): ConnectionCalls {
  const openBySocket = new Map<Socket, Set<() => void>>();
  /** Connections with many open calls. */
  const full = new Set<Socket>();
  /** Connections that are to be read on, one after the other. */
  const waiting = new Set<Socket>();
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
  /** Reads on the connection that has waited longest. What it sends is read in the next turn. */
  const readNext = () => {
    isScheduled = false;
    const [socket] = waiting;
    if (socket === undefined || !isReading) return;
    waiting.delete(socket);
    resuming.add(socket);
    socket.resume();
    void waitArrived().then(() => resuming.delete(socket));
    scheduleNext();
  };
  const addWaiting = (socket: Socket) => {
    full.delete(socket);
    waiting.add(socket);
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
      if (openCalls.size === MAX_OPEN_CALLS) {
        full.add(socket);
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
