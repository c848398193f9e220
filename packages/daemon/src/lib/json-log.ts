/**
 * Log lines as JSON through loglevel, one object each: warnings and errors on standard error, the
 * rest on standard output. Lines of one turn of the event loop are written together.
 */
import { write, writeSync } from 'node:fs';
import loglevel from 'loglevel';
import type { Settings } from './settings.js';

/** Fields of a log line; `event` names what happened. */
export interface LogFields {
  readonly event: string;
  readonly [field: string]: unknown;
}

/** Writes log lines at fixed levels. */
export interface JsonLog {
  readonly info: (fields: LogFields) => void;
  readonly warn: (fields: LogFields) => void;
  readonly error: (fields: LogFields) => void;
}

/** Lines that wait for a slow reader beyond this many characters are dropped and counted. */
const MAX_PENDING_CHARS = 1_000_000;

/**
 * Creates a writer that collects lines and writes them once a turn, one write at a time and never on
 * the event loop, and at the process's end.
 */
function createLineWriter(descriptor: number): (line: string) => void {
  let pending = '';
  let dropped = 0;
  let isBusy = false;
  const writePending = () => {
    if (pending === '' || isBusy) return;
    const lines = pending;
    pending = '';
    isBusy = true;
    writeText(descriptor, lines, () => {
      isBusy = false;
      if (pending !== '') setImmediate(writePending);
    });
  };
  process.once('exit', () => {
    if (pending !== '') writeSync(descriptor, pending);
    pending = '';
  });
  return (line) => {
    if (pending.length > MAX_PENDING_CHARS) {
      dropped += 1;
      return;
    }
    if (dropped > 0) {
      pending += `${JSON.stringify({ event: 'log-lines-dropped', count: dropped })}\n`;
      dropped = 0;
    }
    if (pending === '' && !isBusy) setImmediate(writePending);
    pending += `${line}\n`;
  };
}

/** Writes a whole text; what a full pipe leaves over is written again. */
function writeText(descriptor: number, text: string, handleEnd: () => void): void {
  const bytes = Buffer.from(text, 'utf8');
  const writeFrom = (start: number) => {
    write(descriptor, bytes, start, (error, written) => {
      const next = start + (error === null ? written : 0);
      if (error !== null && error.code !== 'EAGAIN') handleEnd();
      else if (next >= bytes.length) handleEnd();
      else if (error === null) writeFrom(next);
      else setTimeout(() => writeFrom(next), FULL_PIPE_MS);
    });
  };
  writeFrom(0);
}

/** Pause before a full pipe is tried again. */
const FULL_PIPE_MS = 10;

const STDOUT = 1;
const STDERR = 2;
const writeOut = createLineWriter(STDOUT);
const writeError = createLineWriter(STDERR);

/** Creates a log whose lines carry the entry's id. */
export function createJsonLog(settings: Pick<Settings, 'id' | 'logLevel'>): JsonLog {
  const logger = loglevel.getLogger(settings.id);
  logger.methodFactory = (method) =>
    method === 'error' || method === 'warn' ? writeError : writeOut;
  logger.setLevel(settings.logLevel, false);
  const isSilentAt = (level: loglevel.LogLevelNumbers) => logger.getLevel() > level;
  const format = (level: string, fields: LogFields) =>
    JSON.stringify({ time: new Date().toISOString(), level, entry: settings.id, ...fields });
  const { INFO, WARN, ERROR } = logger.levels;
  return {
    info: (fields) => {
      if (!isSilentAt(INFO)) logger.info(format('info', fields));
    },
    warn: (fields) => {
      if (!isSilentAt(WARN)) logger.warn(format('warn', fields));
    },
    error: (fields) => {
      if (!isSilentAt(ERROR)) logger.error(format('error', fields));
    },
  };
}
