/**
 * Runs callers as a process: `caller-main.js OPTIONS`, where OPTIONS is a JSON object. Writes
 * `{"event":"started"}`, sends the planned calls from the given date on, writes
 * `{"event":"results","results":[...]}` and ends.
 */
import { runCalls, type CallerOptions } from './caller.js';

/** Options of a caller process; several processes begin together at a date. */
export interface CallerProcessOptions extends CallerOptions {
  /** Milliseconds since 1970 at which the load begins. */
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
