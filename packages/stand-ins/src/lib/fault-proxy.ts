/**
 * A TCP proxy that injects faults between an entry and an upstream. The fault is named by the request's
 * header `stand-in-fault`; it strikes the first attempt of a request id, or every attempt when the name
 * ends in `*`. The proxy looks for the end of a request's head and otherwise passes bytes on.
 */
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import type { RunningServer } from './json-server.js';
import {
  ANSWER_FAULTS,
  BODY_FAULTS,
  closeBroken,
  closeSocketBroken,
  HEAD_FAULTS,
  sendBytes,
  type FaultActions,
  type Link,
} from './fault-actions.js';
import { chooseFault, parseHead, type FaultName, type RequestHead } from './faults.js';

/** A running fault-injecting proxy. */
export interface FaultProxy extends RunningServer {
  /** Times that each fault has struck. */
  readonly countFaults: () => ReadonlyMap<FaultName, number>;
  /** While set, connections are refused by the kernel, because nothing listens. */
  readonly setRefusing: (isRefusing: boolean) => Promise<void>;
  /** Resets every open connection. */
  readonly resetAll: () => void;
  /** From now on drops all bytes on connections that are open now; new ones work. */
  readonly setEstablishedSilent: () => void;
}

const HEAD_END = '\r\n\r\n';
/** Lets the fault of a link act on bytes; true when they are not to be passed on. */
function applyFault(actions: FaultActions, link: Link, bytes: Buffer): boolean {
  const act = link.fault === undefined ? undefined : actions[link.fault];
  return act !== undefined && act(link, bytes) === 'taken';
}

/**
 * Starts a proxy in front of `ip:port` on the loopback interface. `struck` holds the request ids that
 * were struck already; proxies that share it strike each request once between them.
 */
export async function startFaultProxy(
  target: string,
  struck = new Set<string>(),
): Promise<FaultProxy> {
  const [host = '', targetPort] = target.split(':');
  const links = new Set<Link>();
  const counts = new Map<FaultName, number>();

  const startRequest = (link: Link, request: RequestHead) => {
    link.requests += 1;
    link.hasAnswered = false;
    link.answerLeft = undefined;
    link.bodyBytes = request.bodyBytes;
    link.passedBody = 0;
    link.fault = chooseFault(request, struck, link.requests > 1);
    if (link.fault !== undefined) counts.set(link.fault, (counts.get(link.fault) ?? 0) + 1);
  };
  const handleBody = (link: Link, chunk: Buffer) => {
    if (link.isSilent) return;
    const isTaken = applyFault(BODY_FAULTS, link, chunk);
    if (!isTaken) sendBytes(link.client, link.server, chunk);
    link.passedBody += chunk.length;
  };
  const handleHead = (link: Link, bytes: Buffer) => {
    const end = bytes.indexOf(HEAD_END);
    link.head = bytes;
    if (end < 0) return;
    link.head = undefined;
    const head = bytes.subarray(0, end + HEAD_END.length);
    startRequest(link, parseHead(head.toString('latin1')));
    const isTaken = applyFault(HEAD_FAULTS, link, head);
    if (!isTaken) sendBytes(link.client, link.server, head);
    const rest = bytes.subarray(head.length);
    const isEmptyEnd = link.bodyBytes === 0 && link.fault === 'reset-after-request';
    if (rest.length > 0 || isEmptyEnd) handleBody(link, rest);
  };
  const handleClientData = (link: Link, chunk: Buffer) => {
    if (link.isSilent) return;
    if (link.hasAnswered && link.head === undefined) link.head = Buffer.alloc(0);
    if (link.head === undefined) handleBody(link, chunk);
    else handleHead(link, Buffer.concat([link.head, chunk]));
  };
  const handleServerData = (link: Link, chunk: Buffer) => {
    link.hasAnswered = true;
    if (link.isSilent) return;
    const isTaken = applyFault(ANSWER_FAULTS, link, chunk);
    if (!isTaken) sendBytes(link.server, link.client, chunk);
  };
  const handleClient = (client: Socket) => {
    const server = connect({ host, port: Number(targetPort), noDelay: true });
    const link: Link = {
      client,
      server,
      requests: 0,
      head: Buffer.alloc(0),
      fault: undefined,
      bodyBytes: 0,
      passedBody: 0,
      hasAnswered: false,
      answerLeft: undefined,
      isSilent: false,
    };
    links.add(link);
    client.setNoDelay(true);
    client.on('data', (chunk: Buffer) => handleClientData(link, chunk));
    server.on('data', (chunk: Buffer) => handleServerData(link, chunk));
    client.on('error', () => {});
    server.on('error', () => closeSocketBroken(client));
    client.on('end', () => server.end());
    server.on('end', () => {
      if (!link.isSilent) client.end();
    });
    client.on('close', () => {
      links.delete(link);
      if (link.fault !== 'reset-after-request') server.destroy();
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
      [...links].forEach(closeBroken);
    });
  await openListener(0);
  const { port } = listener.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    countFaults: () => counts,
    setRefusing: async (isRefusing) => {
      if (isRefusing === !listener.listening) return;
      if (isRefusing) await closeListener();
      else await openListener(port);
    },
    resetAll: () => [...links].forEach(closeBroken),
    setEstablishedSilent: () =>
      links.forEach((link) => {
        link.isSilent = true;
      }),
    close: closeListener,
  };
}
