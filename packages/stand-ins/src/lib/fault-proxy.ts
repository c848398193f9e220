/**
 * A TCP proxy that injects faults between an entry and an upstream. The request header
 * `stand-in-fault` names the fault; it applies to the first attempt of a request id, or to every
 * attempt if the name ends in `*`. The proxy parses only the heads of requests and otherwise
 * forwards bytes unchanged.
 */
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import type { RunningServer } from './json-server.js';
import {
  ANSWER_FAULTS,
  BODY_FAULTS,
  HEAD_FAULTS,
  resetConnection,
  resetSocket,
  sendBytes,
  type FaultActions,
  type ProxiedConnection,
} from './fault-actions.js';
import { chooseFault, parseHead, type FaultName, type RequestHead } from './faults.js';

/** A running fault-injecting proxy. */
export interface FaultProxy extends RunningServer {
  /** Number of requests for which each fault was chosen, also if it could not take effect. */
  readonly countFaults: () => ReadonlyMap<FaultName, number>;
  /**
   * While set, the proxy does not listen, so that the kernel refuses connections. Setting it resets
   * the open ones; clearing it listens on the same port again.
   */
  readonly setRefusing: (isRefusing: boolean) => Promise<void>;
  /** Resets every open connection. */
  readonly resetConnections: () => void;
  /**
   * Drops all further bytes, in both directions, of the connections that are open now; later ones
   * are unaffected.
   */
  readonly dropEstablishedTraffic: () => void;
}

const HEAD_END = '\r\n\r\n';

/** Applies a connection's fault to bytes; returns true if they must not be forwarded. */
function applyFault(actions: FaultActions, connection: ProxiedConnection, bytes: Buffer): boolean {
  const applyEffect = connection.fault === undefined ? undefined : actions[connection.fault];
  return applyEffect !== undefined && applyEffect(connection, bytes) === 'handled';
}

/**
 * Starts a proxy in front of `ip:port` on the loopback interface. `faultedIds` holds the request
 * ids that already had a fault; proxies that share it inject one fault per request id between them,
 * unless the fault is repeated.
 */
export async function startFaultProxy(
  target: string,
  faultedIds = new Set<string>(),
): Promise<FaultProxy> {
  const [host = '', targetPort] = target.split(':');
  const connections = new Set<ProxiedConnection>();
  const faultCounts = new Map<FaultName, number>();

  const startRequest = (connection: ProxiedConnection, request: RequestHead) => {
    connection.requests += 1;
    connection.hasAnswered = false;
    connection.answerLeft = undefined;
    connection.bodyBytes = request.bodyBytes;
    connection.passedBody = 0;
    connection.fault = chooseFault(request, faultedIds, connection.requests > 1);
    if (connection.fault !== undefined)
      faultCounts.set(connection.fault, (faultCounts.get(connection.fault) ?? 0) + 1);
  };
  const handleBody = (connection: ProxiedConnection, chunk: Buffer) => {
    if (connection.isSilent) return;
    const isHandled = applyFault(BODY_FAULTS, connection, chunk);
    if (!isHandled) sendBytes(connection.client, connection.server, chunk);
    connection.passedBody += chunk.length;
  };
  const handleHead = (connection: ProxiedConnection, bytes: Buffer) => {
    const end = bytes.indexOf(HEAD_END);
    connection.head = bytes;
    if (end < 0) return;
    connection.head = undefined;
    const head = bytes.subarray(0, end + HEAD_END.length);
    startRequest(connection, parseHead(head.toString('latin1')));
    const isHandled = applyFault(HEAD_FAULTS, connection, head);
    if (!isHandled) sendBytes(connection.client, connection.server, head);
    const rest = bytes.subarray(head.length);
    const isEmptyEnd = connection.bodyBytes === 0 && connection.fault === 'reset-after-request';
    if (rest.length > 0 || isEmptyEnd) handleBody(connection, rest);
  };
  const handleClientData = (connection: ProxiedConnection, chunk: Buffer) => {
    if (connection.isSilent) return;
    if (connection.hasAnswered && connection.head === undefined) connection.head = Buffer.alloc(0);
    if (connection.head === undefined) handleBody(connection, chunk);
    else handleHead(connection, Buffer.concat([connection.head, chunk]));
  };
  const handleServerData = (connection: ProxiedConnection, chunk: Buffer) => {
    connection.hasAnswered = true;
    if (connection.isSilent) return;
    const isHandled = applyFault(ANSWER_FAULTS, connection, chunk);
    if (!isHandled) sendBytes(connection.server, connection.client, chunk);
  };
  const handleClient = (client: Socket) => {
    const upstream = connect({ host, port: Number(targetPort), noDelay: true });
    const connection: ProxiedConnection = {
      client,
      server: upstream,
      requests: 0,
      head: Buffer.alloc(0),
      fault: undefined,
      bodyBytes: 0,
      passedBody: 0,
      hasAnswered: false,
      answerLeft: undefined,
      isSilent: false,
    };
    connections.add(connection);
    client.setNoDelay(true);
    client.on('data', (chunk: Buffer) => handleClientData(connection, chunk));
    upstream.on('data', (chunk: Buffer) => handleServerData(connection, chunk));
    client.on('error', () => {});
    upstream.on('error', () => resetSocket(client));
    client.on('end', () => upstream.end());
    upstream.on('end', () => {
      if (!connection.isSilent) client.end();
    });
    client.on('close', () => {
      connections.delete(connection);
      if (connection.fault !== 'reset-after-request') upstream.destroy();
    });
  };

  const listener = createServer({ allowHalfOpen: true }, handleClient);
  const openListener = (port: number) =>
    new Promise<void>((resolve) => {
      listener.listen(port, '127.0.0.1', resolve);
    });
  const closeListener = () =>
    new Promise<void>((resolve) => {
      listener.close(() => resolve());
      [...connections].forEach(resetConnection);
    });
  await openListener(0);
  const { port } = listener.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    countFaults: () => faultCounts,
    setRefusing: async (isRefusing) => {
      if (isRefusing === !listener.listening) return;
      if (isRefusing) await closeListener();
      else await openListener(port);
    },
    resetConnections: () => [...connections].forEach(resetConnection),
    dropEstablishedTraffic: () =>
      connections.forEach((connection) => {
        connection.isSilent = true;
      }),
    close: closeListener,
  };
}
