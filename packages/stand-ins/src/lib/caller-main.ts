/**
 * Runs callers as a process: `caller-main.js OPTIONS`, where OPTIONS is a JSON object. Prints
 * `{"event":"started"}`, sends the planned calls from the given start time, prints
 * `{"event":"results","results":[...]}` and exits.
 */
import { runCalls, type CallerOptions } from './caller.js';

/** Options of a caller process. A shared start time lets several processes begin at once. */
export interface CallerProcessOptions extends CallerOptions {
  /** Start of the load, in milliseconds since 1970. */
  readonly startAtDateMs: number;
}

/** Writes one line of JSON to standard output. */
function writeLine(value: unknown): void {
  process.stdout.write(`${JSON.stringify(value)}\n`);
}

const options = JSON.parse(process.argv[2] ?? '{}') as CallerProcessOptions;
writeLine({ event: 'started' });
await new Promise((resolve) => {
  setTimeout(resolve, Math.max(0, options.startAtDateMs - Date.now()));
});
writeLine({ event: 'results', results: await runCalls(options) });
