/** Log lines as JSON on standard output through loglevel, one object each. */
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

/** Creates a log whose lines carry the entry's id. */
export function createJsonLog(settings: Pick<Settings, 'id' | 'logLevel'>): JsonLog {
  const logger = loglevel.getLogger(settings.id);
  logger.methodFactory = (method) => (line: string) => {
    const stream = method === 'error' || method === 'warn' ? process.stderr : process.stdout;
    stream.write(`${line}\n`);
  };
  logger.setLevel(settings.logLevel, false);
  const format = (level: string, fields: LogFields) =>
    JSON.stringify({ time: new Date().toISOString(), level, entry: settings.id, ...fields });
  return {
    info: (fields) => logger.info(format('info', fields)),
    warn: (fields) => logger.warn(format('warn', fields)),
    error: (fields) => logger.error(format('error', fields)),
  };
}
