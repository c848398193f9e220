/**
 * Writes log lines as JSON objects through loglevel: warnings and errors to standard error, other
 * levels to standard output. Lines logged in one turn of the event loop are written together.
 */
import { write, writeSync } from 'node:fs';
import loglevel from 'loglevel';
import type { Settings } from './settings.js';

/** Fields of a log line; `event` names the kind of event. */
export interface LogFields {
  readonly event: string;
  readonly [field: string]: unknown;
}

/** A logger of structured lines. */
export interface JsonLog {
  readonly info: (fields: LogFields) => void;
  readonly warn: (fields: LogFields) => void;
  readonly error: (fields: LogFields) => void;
}

/** While more characters than this wait for a slow reader, new lines are dropped and counted. */
const MAX_PENDING_CHARS = 1_000_000;

/**
 * Creates a writer that buffers lines and writes them asynchronously once a turn, with one write in
 * progress at a time. Lines still buffered when the process exits are written synchronously.
 */
function createLineWriter(fileDescriptor: number): (line: string) => void {
  let pending = '';
  let droppedLines = 0;
  let isBusy = false;
  const writePending = () => {
    if (pending === '' || isBusy) return;
    const lines = pending;
    pending = '';
    isBusy = true;
    writeText(fileDescriptor, lines, () => {
      isBusy = false;
      if (pending !== '') setImmediate(writePending);
    });
  };
  process.once('exit', () => {
    if (pending !== '') writeSync(fileDescriptor, pending);
    pending = '';
  });
  return (line) => {
    if (pending.length > MAX_PENDING_CHARS) {
      droppedLines += 1;
      return;
    }
    if (droppedLines > 0) {
      pending += `${JSON.stringify({ event: 'log-lines-dropped', count: droppedLines })}\n`;
      droppedLines = 0;
    }
    if (pending === '' && !isBusy) setImmediate(writePending);
    pending += `${line}\n`;
  };
}

/** Writes a whole text, and retries the rest after a partial write or a full pipe. */
function writeText(fileDescriptor: number, text: string, handleEnd: () => void): void {
  const bytes = Buffer.from(text, 'utf8');
  const writeFrom = (start: number) => {
    write(fileDescriptor, bytes, start, (error, written) => {
      const nextStart = start + (error === null ? written : 0);
      if (error !== null && error.code !== 'EAGAIN') handleEnd();
      else if (nextStart >= bytes.length) handleEnd();
      else if (error === null) writeFrom(nextStart);
      else setTimeout(() => writeFrom(nextStart), FULL_PIPE_RETRY_MS);
    });
  };
  writeFrom(0);
}

/** Delay before a write to a full pipe is retried. */
const FULL_PIPE_RETRY_MS = 10;

const STDOUT = 1;
const STDERR = 2;
const writeOut = createLineWriter(STDOUT);
const writeError = createLineWriter(STDERR);

/** Creates a logger whose lines carry the entry's id, at the level of the settings. */
export function createJsonLog(settings: Pick<Settings, 'id' | 'logLevel'>): JsonLog {
  const logger = loglevel.getLogger(settings.id);
  logger.methodFactory = (method) =>
    method === 'error' || method === 'warn' ? writeError : writeOut;
  logger.setLevel(settings.logLevel, false);
  const isLevelDisabled = (level: loglevel.LogLevelNumbers) => logger.getLevel() > level;
  const format = (level: string, fields: LogFields) =>
    JSON.stringify({ time: new Date().toISOString(), level, entry: settings.id, ...fields });
  const { INFO, WARN, ERROR } = logger.levels;
  return {
    info: (fields) => {
      if (!isLevelDisabled(INFO)) logger.info(format('info', fields));
    },
    warn: (fields) => {
      if (!isLevelDisabled(WARN)) logger.warn(format('warn', fields));
    },
    error: (fields) => {
      if (!isLevelDisabled(ERROR)) logger.error(format('error', fields));
    },
  };
}
