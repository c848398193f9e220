/**
 * A link that can be cut, between clients and one server on the loopback interface. While it is cut,
 * nothing passes. What was sent waits with its sender and is sent again after 0.2 s, then after twice
 * the time each, as TCP does; an opening packet is sent again after 1 s, then likewise. What a client
 * has sent is lost if it resets the connection, and not if it only closes it.
 */
import { connect, createServer } from 'node:net';

const FIRST_RETRY_MS = 200;
const FIRST_OPEN_RETRY_MS = 1_000;

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

export async function startLink(target, observe) {
  const [host, port] = target.split(':');
  let cutUntilMs = -Infinity;
  const isCut = () => performance.now() < cutUntilMs;
  const sockets = new Set();
  /** Resolves when an attempt meets the link uncut; to false if the sender has given up before. */
  const waitPassage = async (firstMs, isGivenUp) => {
    for (let pauseMs = firstMs; isCut(); pauseMs *= 2) await sleep(pauseMs);
    return !isGivenUp();
  };
  /** Forwards one direction in order, each piece at its own attempt. */
  const forward = (from, to, state, onPiece) => {
    let previous = Promise.resolve();
    const add = (step) => {
      const passage = waitPassage(FIRST_RETRY_MS, () => state.isReset);
      previous = previous.then(() => passage).then((passes) => void (passes && step()));
    };
    from.on('data', (piece) => {
      onPiece?.(piece);
      add(() => to.destroyed || to.write(piece));
    });
    from.on('end', () => add(() => to.destroyed || to.end()));
  };
  const server = createServer({ allowHalfOpen: true }, (client) => {
    const state = { isReset: false, isOpen: false };
    sockets.add(client);
    client.setNoDelay(true);
    client.pause();
    client.on('error', () => {
      state.isReset = true;
    });
    client.on('close', () => sockets.delete(client));
    // A client that closes before the connection is open has sent nothing.
    let isClosed = false;
    client.once('end', () => {
      isClosed = true;
    });
    const open = async () => {
      if (isCut()) client.resume();
      const early = [];
      const keep = (piece) => early.push(piece);
      client.on('data', keep);
      const passes = await waitPassage(FIRST_OPEN_RETRY_MS, () => state.isReset || isClosed);
      client.off('data', keep);
      if (!passes) {
        client.destroy();
        return;
      }
      const upstream = connect({ host, port: Number(port), allowHalfOpen: true });
      upstream.setNoDelay(true);
      sockets.add(upstream);
      upstream.on('error', () => client.destroy());
      upstream.on('close', () => sockets.delete(upstream));
      early.forEach((piece) => upstream.write(piece));
      forward(client, upstream, state, observe);
      forward(upstream, client, state);
      client.resume();
    };
    void open();
  });
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
  return {
    address: `127.0.0.1:${server.address().port}`,
    cut: (ms) => {
      cutUntilMs = performance.now() + ms;
    },
    close: () => {
      server.close();
      sockets.forEach((socket) => socket.destroy());
    },
  };
}
