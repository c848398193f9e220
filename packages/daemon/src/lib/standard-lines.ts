/**
 * The writers of the process's standard output and standard error. Everything that a process logs
 * goes through them, so that lines never mix. A write to a pipe that nobody reads would block: the
 * thread that writes, which the runtime waits for at its exit, or the exit itself. Both outputs are
 * therefore set to not block, which the runtime does for a pipe as soon as its stream is opened.
 */
import { createLineWriter } from './line-writer.js';

const STDOUT = 1;
const STDERR = 2;

[process.stdout, process.stderr].forEach((stream) => {
  // The writers meet the same error and drop their lines; there is nowhere left to log it.
  stream.on('error', () => {});
});

/** Writes lines to standard output. */
export const outLines = createLineWriter(STDOUT);

/** Writes lines to standard error. */
export const errorLines = createLineWriter(STDERR);
