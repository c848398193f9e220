/**
 * The writers of the process's standard output and standard error. Everything that a process logs
 * goes through them, so that lines never mix.
 */
import { createLineWriter } from './line-writer.js';

const STDOUT = 1;
const STDERR = 2;

/** Writes lines to standard output. */
export const outLines = createLineWriter(STDOUT);

/** Writes lines to standard error. */
export const errorLines = createLineWriter(STDERR);
