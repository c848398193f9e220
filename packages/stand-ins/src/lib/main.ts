/**
 * Runs one stand-in as a process: `main.js KIND OPTIONS`, where KIND is `log`, `instances` or
 * `upstream` and OPTIONS is a JSON object. Prints one line
 * `{"event":"started","address":"ip:port"}`. SIGTERM stops it; an upstream first refuses new
 * requests and completes those in progress.
 */
import { startInstanceServer } from './instance-server.js';
import type { RunningServer } from './json-server.js';
import { startLogServer } from './log-server.js';
import { startUpstream, type UpstreamOptions } from './upstream.js';

const EXIT_BAD_INPUT = 2;

/** Starts a stand-in of the given kind; exits the process if the kind is unknown. */
async function startStandIn(kind: string, options: unknown): Promise<RunningServer> {
  switch (kind) {
    case 'log':
      return startLogServer();
    case 'instances':
      return startInstanceServer((options as { readonly lagMs?: number }).lagMs);
    case 'upstream':
      return startUpstream(options as UpstreamOptions);
    default:
      process.stderr.write(
        `unknown stand-in kind '${kind}'; expected log, instances or upstream\n`,
      );
      return process.exit(EXIT_BAD_INPUT);
  }
}

const [kind = '', options = '{}'] = process.argv.slice(2);
const server = await startStandIn(kind, JSON.parse(options));
process.stdout.write(`${JSON.stringify({ event: 'started', address: server.address })}\n`);
process.once('SIGTERM', () => {
  void (server.drain?.() ?? server.close()).then(() => process.exit(0));
});
