/**
 * Kept connections to one upstream process, at most a set number, one request at a time on each. A
 * connection returns here only after a whole answer; any other end destroys it. Bytes that arrive
 * while it is idle belong to no request, so they destroy it too.
 */
import { Agent } from 'node:http';
import { connect, type Socket } from 'node:net';
import { Err, Ok, type Result } from 'ts-results-es';
import { parseAddress } from '../address.js';

/** An open connection that carries one request. */
export interface Connection {
  /** Gives exactly this connection to Node's client. */
  readonly agent: Agent;
  readonly socket: Socket;
  /** Whether it has carried a request before. */
  readonly isReused: boolean;
  /** Whether an earlier answer on it repeated its request's id. */
  readonly hasEchoed: () => boolean;
  /** Notes that an answer repeated its request's id. */
  readonly observeEcho: () => void;
  /** Destroys it; it will carry nothing more. */
  readonly destroy: () => void;
}

/** No connection could be had, so no byte of the request was sent. */
export interface ConnectError {
  readonly kind: 'refused' | 'cancelled';
  readonly message: string;
}

/** A wait for a connection that can be given up. */
export interface Acquisition {
  readonly result: Promise<Result<Connection, ConnectError>>;
  readonly cancel: () => void;
}

/** Connections to one upstream process. */
export interface ConnectionPool {
  /** Takes a connection that was idle for at most `maxIdleMs`, or opens one. */
  readonly take: (maxIdleMs: number) => Acquisition;
  /** Destroys the idle connections, because one of their age has gone silent. */
  readonly dropIdle: () => void;
  readonly setLimit: (limit: number) => void;
  /** Counts connections that are open or being opened. */
  readonly countOpen: () => number;
  readonly countIdle: () => number;
  readonly close: () => void;
}

/** Idle connections younger than this may carry a request that is not idempotent. */
export const FRESH_IDLE_MS = 1_000;
/** Idle connections older than this are closed. */
export const MAX_IDLE_MS = 4_000;

const CONNECT_TIMEOUT_MS = 2_000;
const TCP_KEEP_ALIVE_MS = 10_000;

interface Slot {
  readonly agent: Agent;
  readonly socket: Socket;
  idleSinceMs: number;
  uses: number;
  hasEchoed: boolean;
  readonly dropStray: () => void;
}

interface Waiter {
  readonly maxIdleMs: number;
  readonly resolve: (result: Result<Connection, ConnectError>) => void;
}

/** Creates an empty pool for an upstream at `ip:port`. */
export function createConnectionPool(address: string, firstLimit: number): ConnectionPool {
  const { host, port } = parseAddress(address);
  const open = new Set<Slot>();
  const opening = new Set<Socket>();
  const idle: Slot[] = [];
  const waiting = new Set<Waiter>();
  let limit = firstLimit;
  let sweeper: NodeJS.Timeout | undefined;

  const makeConnection = (slot: Slot): Connection => {
    slot.uses += 1;
    const { agent, socket } = slot;
    return {
      agent,
      socket,
      isReused: slot.uses > 1,
      hasEchoed: () => slot.hasEchoed,
      observeEcho: () => {
        slot.hasEchoed = true;
      },
      destroy: () => void socket.destroy(),
    };
  };
  const dropSlot = (slot: Slot) => {
    const index = idle.indexOf(slot);
    if (index >= 0) idle.splice(index, 1);
    slot.socket.destroy();
  };
  const takeIdle = (maxIdleMs: number): Slot | undefined => {
    const oldestMs = performance.now() - maxIdleMs;
    for (let slot = idle.at(-1); slot !== undefined; slot = idle.at(-1)) {
      if (slot.idleSinceMs < oldestMs) return undefined;
      idle.pop();
      slot.socket.off('data', slot.dropStray);
      const isUsable = !slot.socket.destroyed && slot.socket.readableLength === 0;
      if (isUsable) return slot;
      slot.socket.destroy();
    }
    return undefined;
  };
  const closeAged = () => {
    const oldestMs = performance.now() - MAX_IDLE_MS;
    idle.filter(({ idleSinceMs }) => idleSinceMs < oldestMs).forEach(dropSlot);
    sweeper = idle.length === 0 ? undefined : setTimeout(closeAged, MAX_IDLE_MS).unref();
  };
  const handleFree = (slot: Slot) => {
    if (slot.socket.destroyed) return;
    const [waiter] = waiting;
    if (waiter !== undefined) {
      waiting.delete(waiter);
      waiter.resolve(Ok(makeConnection(slot)));
      return;
    }
    slot.idleSinceMs = performance.now();
    slot.socket.on('data', slot.dropStray);
    idle.push(slot);
    sweeper ??= setTimeout(closeAged, MAX_IDLE_MS).unref();
  };
  const handleClose = (slot: Slot) => {
    open.delete(slot);
    const index = idle.indexOf(slot);
    if (index >= 0) idle.splice(index, 1);
    startWaiter();
  };
  const startWaiter = () => {
    const [waiter] = waiting;
    if (waiter === undefined || open.size + opening.size >= limit) return;
    waiting.delete(waiter);
    openConnection(waiter);
  };
  const addSlot = (socket: Socket): Slot => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1, maxFreeSockets: 1 });
    agent.createConnection = () => socket;
    agent.getName = () => address;
    const slot: Slot = {
      agent,
      socket,
      idleSinceMs: 0,
      uses: 0,
      hasEchoed: false,
      dropStray: () => dropSlot(slot),
    };
    agent.on('free', () => handleFree(slot));
    socket.once('close', () => handleClose(slot));
    open.add(slot);
    return slot;
  };
  const openConnection = (waiter: Waiter): Socket => {
    const socket = connect({ host, port, noDelay: true });
    opening.add(socket);
    const fail = (error: Error) => {
      clearTimeout(timer);
      socket.destroy();
      if (!opening.delete(socket)) return;
      waiter.resolve(Err({ kind: 'refused', message: error.message }));
      startWaiter();
    };
    const timer = setTimeout(() => fail(new Error('connecting timed out')), CONNECT_TIMEOUT_MS);
    socket.on('error', fail);
    socket.once('close', () => fail(new Error('closed while connecting')));
    socket.once('connect', () => {
      clearTimeout(timer);
      if (!opening.delete(socket)) return;
      socket.setKeepAlive(true, TCP_KEEP_ALIVE_MS);
      waiter.resolve(Ok(makeConnection(addSlot(socket))));
    });
    return socket;
  };
  const take = (maxIdleMs: number): Acquisition => {
    const kept = takeIdle(maxIdleMs);
    if (kept !== undefined) {
      return { result: Promise.resolve(Ok(makeConnection(kept))), cancel: () => {} };
    }
    let cancel = () => {};
    const result = new Promise<Result<Connection, ConnectError>>((resolve) => {
      const waiter: Waiter = { maxIdleMs, resolve };
      if (open.size + opening.size >= limit && idle[0] !== undefined) dropSlot(idle[0]);
      let socket: Socket | undefined;
      if (open.size + opening.size < limit) socket = openConnection(waiter);
      else waiting.add(waiter);
      cancel = () => {
        waiting.delete(waiter);
        resolve(Err({ kind: 'cancelled', message: 'the wait for a connection was given up' }));
        if (socket !== undefined && opening.has(socket)) socket.destroy();
      };
    });
    return { result, cancel: () => cancel() };
  };
  return {
    take,
    dropIdle: () => [...idle].forEach(dropSlot),
    setLimit: (value) => {
      limit = value;
    },
    countOpen: () => open.size + opening.size,
    countIdle: () => idle.length,
    close: () => {
      clearTimeout(sweeper);
      [...opening].forEach((socket) => socket.destroy());
      [...open].forEach(dropSlot);
    },
  };
}
