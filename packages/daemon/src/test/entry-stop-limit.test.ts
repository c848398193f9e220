/** The stop of an entry has an end whatever the platform does. */
import { connect, createServer, type Socket } from 'node:net';
import type { AddressInfo } from 'node:net';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { runWithEntry } from './entry-process.js';

const test = suite('entry-stop-limit');
const DRAIN_LIMIT_MS = 500;
/** Time after the drain in which duties are given back and the process ends, in milliseconds. */
const RELEASE_LIMIT_MS = 5_000;
/** Allows for a busy machine. */
const SLACK_MS = 2_000;

/** Passes connections on to an address until it is set to hold back every byte. */
const openProxy = async (address: string) => {
  const [host = '', port] = address.split(':');
  const sockets = new Set<Socket>();
  let isSilent = false;
  const server = createServer((incoming) => {
    const outgoing = connect({ host, port: Number(port) });
    [incoming, outgoing].forEach((socket) => {
      sockets.add(socket);
      socket.on('error', () => {});
    });
    incoming.on('data', (chunk: Buffer) => isSilent || outgoing.write(chunk));
    outgoing.on('data', (chunk: Buffer) => isSilent || incoming.write(chunk));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    setSilent: () => {
      isSilent = true;
    },
    close: () => {
      server.close();
      sockets.forEach((socket) => socket.destroy());
    },
  };
};

test('an entry whose log does not answer ends soon after its drain, with its log lines', async () => {
  let proxy: Awaited<ReturnType<typeof openProxy>> | undefined;
  await runWithEntry(
    `drainNoticeMs: 0\ndrainLimitMs: ${DRAIN_LIMIT_MS}`,
    async (entry) => {
      proxy?.setSilent();
      const startedMs = performance.now();
      entry.child.kill('SIGTERM');
      const { code, atMs } = await entry.exit;
      const stopMs = Math.round(atMs - startedMs);
      const lastEvent = entry.listLines().at(-1)?.event;
      assert.equal({ code, lastEvent }, { code: 0, lastEvent: 'stopped' });
      assert.ok(stopMs < DRAIN_LIMIT_MS + RELEASE_LIMIT_MS + SLACK_MS, `exit after ${stopMs} ms`);
    },
    {
      openLogProxy: async (logAddress) => {
        proxy = await openProxy(logAddress);
        return proxy.address;
      },
    },
  );
  proxy?.close();
});

test.run();
