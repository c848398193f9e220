/**
 * A pool of keep-alive connections to one upstream process, limited in number, with one request at
 * a time on each. A connection returns to the pool only after a complete response; any other end
 * destroys it. Bytes that arrive on an idle connection belong to no request, so they destroy it
 * too.
 */
import { Agent } from 'node:http';
import { connect, type Socket } from 'node:net';
import { Err, Ok, type Result } from 'ts-results-es';
import { parseAddress } from '../address.js';

/** An open connection, in use by one request at a time. */
export interface Connection {
  /** Makes Node's HTTP client use exactly this connection. */
  readonly agent: Agent;
  readonly socket: Socket;
  /** Whether it has carried a request before. */
  readonly isReused: boolean;
  /** Whether an earlier response on it echoed the id of its request. */
  readonly hasEchoed: () => boolean;
  /** Records that a response echoed the id of its request. */
  readonly observeEcho: () => void;
  /** Closes it at once; it carries no further requests. */
  readonly destroy: () => void;
}

/** No connection could be obtained, so no byte of the request was sent. */
export interface ConnectError {
  readonly kind: 'refused' | 'cancelled';
  readonly message: string;
}

/** A pending connection; `cancel` stops waiting for it and makes the result `cancelled`. */
export interface Acquisition {
  readonly result: Promise<Result<Connection, ConnectError>>;
  readonly cancel: () => void;
}

/** Connections to one upstream process. */
export interface ConnectionPool {
  /**
   * Takes a connection that has been idle for at most `maxIdleMs`, opens one, or waits for one. The
   * wait has no time limit; opening fails as `refused`, also when it takes too long.
   */
  readonly take: (maxIdleMs: number) => Acquisition;
  /** Destroys all idle connections, for use when one of their age turned out unresponsive. */
  readonly dropIdle: () => void;
  /**
   * Sets the limit on new connections; open ones in excess of it are not closed. Requests that wait
   * already use a raised limit only once a connection closes or fails to open.
   */
  readonly setLimit: (limit: number) => void;
  /** Counts connections that are open or being opened. */
  readonly countOpen: () => number;
  readonly countIdle: () => number;
  /** Destroys all connections, also those in use or being opened. */
  readonly close: () => void;
}

/** Maximum idle time, in milliseconds, of a connection for a request that is not idempotent. */
export const MAX_IDLE_NON_IDEMPOTENT_MS = 1_000;
/** Connections that have been idle for longer than this, in milliseconds, are closed. */
export const MAX_IDLE_MS = 4_000;

const CONNECT_TIMEOUT_MS = 2_000;
const TCP_KEEP_ALIVE_MS = 10_000;

interface PooledConnection {
  readonly agent: Agent;
  readonly socket: Socket;
  idleSinceMs: number;
  useCount: number;
  hasEchoed: boolean;
  readonly handleIdleData: () => void;
}

interface Waiter {
  readonly maxIdleMs: number;
  readonly resolve: (result: Result<Connection, ConnectError>) => void;
}

/** Creates an empty pool for an upstream at `ip:port`, of at most `initialLimit` connections. */
export function createConnectionPool(address: string, initialLimit: number): ConnectionPool {
  const { host, port } = parseAddress(address);
  const open = new Set<PooledConnection>();
  const opening = new Set<Socket>();
  const idle: PooledConnection[] = [];
  const waiters = new Set<Waiter>();
  let limit = initialLimit;
  let sweepTimer: NodeJS.Timeout | undefined;

  const makeConnection = (pooled: PooledConnection): Connection => {
    pooled.useCount += 1;
    const { agent, socket } = pooled;
    return {
      agent,
      socket,
      isReused: pooled.useCount > 1,
      hasEchoed: () => pooled.hasEchoed,
      observeEcho: () => {
        pooled.hasEchoed = true;
      },
      destroy: () => void socket.destroy(),
    };
  };
  const dropConnection = (pooled: PooledConnection) => {
    const index = idle.indexOf(pooled);
    if (index >= 0) idle.splice(index, 1);
    pooled.socket.destroy();
  };
  const takeIdle = (maxIdleMs: number): PooledConnection | undefined => {
    const oldestMs = performance.now() - maxIdleMs;
    for (let pooled = idle.at(-1); pooled !== undefined; pooled = idle.at(-1)) {
      if (pooled.idleSinceMs < oldestMs) return undefined;
      idle.pop();
      pooled.socket.off('data', pooled.handleIdleData);
      const isUsable = !pooled.socket.destroyed && pooled.socket.readableLength === 0;
      if (isUsable) return pooled;
      pooled.socket.destroy();
    }
    return undefined;
  };
  const closeExpired = () => {
    const oldestMs = performance.now() - MAX_IDLE_MS;
    idle.filter(({ idleSinceMs }) => idleSinceMs < oldestMs).forEach(dropConnection);
    sweepTimer = idle.length === 0 ? undefined : setTimeout(closeExpired, MAX_IDLE_MS).unref();
  };
  const handleFree = (pooled: PooledConnection) => {
    if (pooled.socket.destroyed) return;
    const [waiter] = waiters;
    if (waiter !== undefined) {
      waiters.delete(waiter);
      waiter.resolve(Ok(makeConnection(pooled)));
      return;
    }
    pooled.idleSinceMs = performance.now();
    pooled.socket.on('data', pooled.handleIdleData);
    idle.push(pooled);
    sweepTimer ??= setTimeout(closeExpired, MAX_IDLE_MS).unref();
  };
  const handleClose = (pooled: PooledConnection) => {
    open.delete(pooled);
    const index = idle.indexOf(pooled);
    if (index >= 0) idle.splice(index, 1);
    serveNextWaiter();
  };
  const serveNextWaiter = () => {
    const [waiter] = waiters;
    if (waiter === undefined || open.size + opening.size >= limit) return;
    waiters.delete(waiter);
    openConnection(waiter);
  };
  const addConnection = (socket: Socket): PooledConnection => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1, maxFreeSockets: 1 });
    agent.createConnection = () => socket;
    agent.getName = () => address;
    const pooled: PooledConnection = {
      agent,
      socket,
      idleSinceMs: 0,
      useCount: 0,
      hasEchoed: false,
      handleIdleData: () => dropConnection(pooled),
    };
    agent.on('free', () => handleFree(pooled));
    socket.once('close', () => handleClose(pooled));
    open.add(pooled);
    return pooled;
  };
  const openConnection = (waiter: Waiter): Socket => {
    const socket = connect({ host, port, noDelay: true });
    opening.add(socket);
    const fail = (error: Error) => {
      clearTimeout(timer);
      socket.destroy();
      if (!opening.delete(socket)) return;
      waiter.resolve(Err({ kind: 'refused', message: error.message }));
      serveNextWaiter();
    };
    const timer = setTimeout(() => fail(new Error('connecting timed out')), CONNECT_TIMEOUT_MS);
    socket.on('error', fail);
    socket.once('close', () => fail(new Error('closed while connecting')));
    socket.once('connect', () => {
      clearTimeout(timer);
      if (!opening.delete(socket)) return;
      socket.setKeepAlive(true, TCP_KEEP_ALIVE_MS);
      waiter.resolve(Ok(makeConnection(addConnection(socket))));
    });
    return socket;
  };
  const take = (maxIdleMs: number): Acquisition => {
    const reused = takeIdle(maxIdleMs);
    if (reused !== undefined) {
      return { result: Promise.resolve(Ok(makeConnection(reused))), cancel: () => {} };
    }
    let cancel = () => {};
    const result = new Promise<Result<Connection, ConnectError>>((resolve) => {
      const waiter: Waiter = { maxIdleMs, resolve };
      if (open.size + opening.size >= limit && idle[0] !== undefined) dropConnection(idle[0]);
      let socket: Socket | undefined;
      if (open.size + opening.size < limit) socket = openConnection(waiter);
      else waiters.add(waiter);
      cancel = () => {
        waiters.delete(waiter);
        resolve(Err({ kind: 'cancelled', message: 'the wait for a connection was given up' }));
        if (socket !== undefined && opening.has(socket)) socket.destroy();
      };
    });
    return { result, cancel: () => cancel() };
  };
  return {
    take,
    dropIdle: () => [...idle].forEach(dropConnection),
    setLimit: (value) => {
      limit = value;
    },
    countOpen: () => open.size + opening.size,
    countIdle: () => idle.length,
    close: () => {
      clearTimeout(sweepTimer);
      [...opening].forEach((socket) => socket.destroy());
      [...open].forEach(dropConnection);
    },
  };
}
