/**
 * The baseline of the overhead measurement, run as a process: a pass-through proxy made of nothing
 * but Node's http server and client with keep-alive connections. Its argument is the upstreams'
 * addresses as a JSON array.
 */
import { Agent, createServer, request as sendRequest } from 'node:http';
import type { AddressInfo } from 'node:net';

const BAD_GATEWAY = 502;

const upstreams = JSON.parse(process.argv[2] ?? '[]') as readonly string[];
const agent = new Agent({ keepAlive: true });
let turn = 0;

const server = createServer((incoming, response) => {
  turn += 1;
  const [host, port] = (upstreams[turn % upstreams.length] ?? '').split(':');
  const { method, headers, url: path } = incoming;
  const outgoing = sendRequest({ host, port, method, headers, path, agent }, (answer) => {
    response.writeHead(answer.statusCode ?? BAD_GATEWAY, answer.headers);
    answer.pipe(response);
  });
  outgoing.on('error', () => response.destroy());
  incoming.pipe(outgoing);
});

server.listen(0, '127.0.0.1', () => {
  const { port } = server.address() as AddressInfo;
  const started = { event: 'started', address: `127.0.0.1:${port}` };
  process.stdout.write(`${JSON.stringify(started)}\n`);
});
