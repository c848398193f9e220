/**
 * Log lines as JSON through loglevel, one object each: warnings and errors on standard error, the
 * rest on standard output. Lines of one turn of the event loop are written together.
 */
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

/** Creates a writer that collects lines and writes them once a turn, and at the process's end. */
function createLineWriter(stream: NodeJS.WriteStream): (line: string) => void {
  let pending = '';
  const write = () => {
    if (pending === '') return;
    const lines = pending;
    pending = '';
    stream.write(lines);
  };
  process.once('exit', write);
  return (line) => {
    if (pending === '') setImmediate(write);
    pending += `${line}\n`;
  };
}

const writeOut = createLineWriter(process.stdout);
const writeError = createLineWriter(process.stderr);

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
