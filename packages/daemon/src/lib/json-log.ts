/**
 * Writes log lines as JSON objects through loglevel: warnings and errors to standard error, other
 * levels to standard output.
 */
import loglevel from 'loglevel';
import type { Settings } from './settings.js';
import { errorLines, outLines } from './standard-lines.js';

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

/**
 * Resolves once every line logged so far is written, or after a limit, to whether they all are. To
 * be awaited right before `process.exit`, which can lose a write in progress.
 */
export async function drainLogs(limitMs: number): Promise<boolean> {
  const drained = await Promise.all([outLines.drain(limitMs), errorLines.drain(limitMs)]);
  return drained.every(Boolean);
}

/** Creates a logger whose lines carry the entry's id, at the level of the settings. */
export function createJsonLog(settings: Pick<Settings, 'id' | 'logLevel'>): JsonLog {
  const logger = loglevel.getLogger(settings.id);
  logger.methodFactory = (method) =>
    method === 'error' || method === 'warn' ? errorLines.write : outLines.write;
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
