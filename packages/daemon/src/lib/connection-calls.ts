/**
 * Open calls by connection, and how far connections are read. A caller may send any number of calls
 * without waiting for answers, and bodies in any number of pieces. Read all at once, those of a few
 * connections would keep the process from everything else for seconds, and from its deadlines when it
 * stops. So a connection with many open calls is read on only when they have been answered, and one
 * turn of the event loop reads so many calls and pieces. What has arrived on the other connections may
 * be as much: from then on they are read in turns, also those that are only opened, with turns of the
 * event loop that accept new ones after each reading that took long.
 */
import type { Server } from 'node:http';
import type { Socket } from 'node:net';
import { createReadingQueue, type WaitingKind } from './reading-queue.js';
import { waitArrived, waitInput } from './servers.js';

/** Open calls of a server by connection. */
export interface ConnectionCalls {
  /** Adds an open call; `handleClose` is called when its connection closes before `remove`. */
  readonly add: (socket: Socket, handleClose: () => void) => void;
  readonly remove: (socket: Socket, handleClose: () => void) => void;
  /** Notes a piece of the body of a call; each call is noted by `add`. */
  readonly observeBodyPiece: (socket: Socket) => void;
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
 * Calls and pieces of bodies that one turn of the event loop reads; what has come in one piece of
 * input is read all the same. A call takes up to 1 ms of processor time, a piece of a body some µs.
 */
const MAX_TURN_STEPS = 256;

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
  /** Connections that are to be read on. */
  const waiting = createReadingQueue<Socket>();
  /** Open connections that have had many open calls. */
  const known = new Set<Socket>();
  /** Open connections of which one turn has read as much as it may read of all. */
  const heavy = new Set<Socket>();
  /** Connections that are read on in this turn of the event loop or the next. */
  const resuming = new Set<Socket>();
  let isReading = true;
  let isScheduled = false;
  /** Whether a turn has read as much as it may since connections were last read on. */
  let hasReadMany = false;
  /** Steps of this turn of the event loop, and those of the connection that is being read. */
  let turnSteps = 0;
  let ownSteps = 0;
  let lastRead: Socket | undefined;
  const count = (socket: Socket) => openBySocket.get(socket)?.size ?? 0;
  const isHeld = (socket: Socket) =>
    !isReading || waiting.has(socket) || count(socket) >= MAX_OPEN_CALLS;
  const waitTurns = async () => {
    await waitArrived();
    if (!hasReadMany) return;
    hasReadMany = false;
    waiting.observeLongRead();
    await waitInput(Infinity, TURNS_FOR_OTHERS);
  };
  const scheduleNext = () => {
    if (isScheduled || waiting.count() === 0) return;
    isScheduled = true;
    void waitTurns().then(readNext);
  };
  /** Reads on the connections that are next. What they send is read in the next turn. */
  const readNext = () => {
    isScheduled = false;
    if (!isReading) return;
    const sockets = waiting.takeNext();
    sockets.forEach((socket) => {
      resuming.add(socket);
      socket.resume();
    });
    void waitArrived().then(() => sockets.forEach((socket) => resuming.delete(socket)));
    scheduleNext();
  };
  /** Says whether no further connection may have many calls. */
  const isCrowded = () =>
    limit !== undefined && (waiting.count() >= limit.maxWaiting || known.size >= MAX_KNOWN);
  /** Closes connections until no more than may wait are counted, but not the one that is being read. */
  const closeBeyondLimit = (countWaiting: () => number) => {
    while (limit !== undefined && countWaiting() > limit.maxWaiting) {
      const socket = waiting.findFirstToClose(lastRead);
      if (socket === undefined) return;
      waiting.remove(socket);
      limit.close(socket);
    }
  };
  const getKind = (socket: Socket): WaitingKind => {
    if (known.has(socket) || heavy.has(socket)) return 'heavy';
    return socket.bytesRead === 0 ? 'new' : 'light';
  };
  const addWaiting = (socket: Socket) => {
    waiting.add(socket, getKind(socket));
    scheduleNext();
  };
  /** Has all connections wait: what has arrived there may be as much as what was just read. */
  const addAll = () => {
    hasReadMany = true;
    [...openBySocket.keys()]
      .filter((socket) => !isHeld(socket) && !socket.destroyed)
      .forEach((socket) => {
        addWaiting(socket);
        socket.pause();
      });
    closeBeyondLimit(waiting.countUnproved);
  };
  /** Counts what was read, and ends the reading of this turn when it is as much as may be. */
  const observeStep = (socket: Socket) => {
    if (turnSteps === 0) {
      setImmediate(() => {
        turnSteps = 0;
        lastRead = undefined;
      });
    }
    turnSteps += 1;
    ownSteps = socket === lastRead ? ownSteps + 1 : 1;
    lastRead = socket;
    if (ownSteps === MAX_TURN_STEPS && openBySocket.has(socket)) heavy.add(socket);
    if (ownSteps === MAX_TURN_STEPS || turnSteps === MAX_TURN_STEPS) addAll();
  };
  const watchSocket = (socket: Socket): Set<() => void> => {
    const openCalls = new Set<() => void>();
    openBySocket.set(socket, openCalls);
    // Node reads on by itself when a request has been read or answered.
    socket.on('resume', () => {
      if (!isHeld(socket)) return;
      // Node begins to read after this event, also if the connection has been paused since it
      // decided to; a pause of a paused connection would not stop that.
      if (socket.isPaused()) socket.emit('pause');
      else socket.pause();
    });
    socket.once('close', () => {
      openBySocket.delete(socket);
      waiting.remove(socket);
      full.delete(socket);
      known.delete(socket);
      heavy.delete(socket);
      openCalls.forEach((handleClose) => handleClose());
    });
    if (!isReading) socket.pause();
    return openCalls;
  };
  server.on('connection', (socket: Socket) => {
    watchSocket(socket);
    if (isHeld(socket) || waiting.count() === 0) return;
    addWaiting(socket);
    socket.pause();
  });
  return {
    add: (socket, handleClose) => {
      const openCalls = openBySocket.get(socket) ?? watchSocket(socket);
      openCalls.add(handleClose);
      if (openCalls.size === MAX_OPEN_CALLS && !known.has(socket) && isCrowded()) {
        limit?.close(socket);
        addAll();
        closeBeyondLimit(waiting.count);
        return;
      }
      if (openCalls.size === MAX_OPEN_CALLS) {
        full.add(socket);
        known.add(socket);
        addAll();
        closeBeyondLimit(waiting.count);
      }
      observeStep(socket);
      if (isHeld(socket) && !socket.isPaused()) socket.pause();
    },
    remove: (socket, handleClose) => {
      const openCalls = openBySocket.get(socket);
      if (openCalls?.delete(handleClose) && openCalls.size === MAX_OPEN_CALLS - 1) {
        full.delete(socket);
        addWaiting(socket);
        closeBeyondLimit(waiting.count);
      }
    },
    observeBodyPiece: observeStep,
    hasLastCall: (socket) => count(socket) === 1 && !isHeld(socket) && !resuming.has(socket),
    countHeld: () => full.size + waiting.count() + resuming.size,
    stopReading: () => {
      isReading = false;
      openBySocket.forEach((_, socket) => socket.pause());
    },
  };
}
