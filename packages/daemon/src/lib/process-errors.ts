/**
 * What becomes of errors that nothing in the process has handled, and the last line of a process.
 * Such an error is logged and the process goes on: what failed stays where it is, and a process
 * that ended would take along the calls and the duties that have nothing to do with it. Final are
 * only an exit that the program itself orders and the end of all work; the last line names the
 * cause of either. An end from outside (SIGKILL, memory) and one that the runtime orders without
 * JavaScript (its heap is full) leave no last line: the platform's notes and the runtime's own text
 * on standard error tell those.
 */
import { makeErrorFields } from './error-guard.js';
import { errorLines } from './standard-lines.js';

/** Observes the errors of one process. */
export interface ProcessErrors {
  /** Names the instance in all further lines. */
  readonly nameEntry: (entry: string) => void;
  /** Records why the process is about to exit, for its last line; the first cause counts. */
  readonly recordEndCause: (cause: string) => void;
}

/** What is observed, and where the lines go; by default this process and its standard error. */
export interface ProcessErrorsOptions {
  readonly source?: Pick<NodeJS.Process, 'on' | 'prependListener' | 'removeAllListeners'>;
  readonly writeLine?: (line: string) => void;
}

/** Lines within one window of time; what is beyond them is counted. */
const MAX_LINES = 10;
const WINDOW_MS = 10_000;

/** Longest text of a reason in a line, in characters. */
const MAX_REASON = 500;

/** Exit code of a process that has no work left though nobody has stopped it. */
const EXIT_NOTHING_LEFT = 1;

const KIB_PER_MIB = 1024;
const MS_PER_SECOND = 1000;

/** Makes the fields of an error, bounded; a value that cannot be made a text has none. */
function makeBoundedFields(error: unknown): Readonly<Record<string, unknown>> {
  try {
    const { reason, stack } = makeErrorFields(error);
    return { reason: reason.slice(0, MAX_REASON), stack };
  } catch {
    return { reason: 'no text' };
  }
}

/** Makes the code of a warning or an error a field; undefined if there is none. */
function getCode(error: object): unknown {
  return 'code' in error && typeof error.code === 'string' ? error.code : undefined;
}

/**
 * Starts to observe the errors of a process; to be called once, before anything else of the program.
 * Events: `process-error` for an exception or a rejection that nobody handled, `process-warning` for
 * a warning of the runtime, whose own text is replaced, `process-errors-dropped` for those beyond
 * ten lines in ten seconds, and `process-exit` as the last line, which is written synchronously
 * within the limit of the line writer.
 *
 * @example
 * ```ts
 * const errors = watchProcessErrors();
 * errors.recordEndCause('stopped by SIGTERM');
 * process.exit(0);
 * ```
 */
export function watchProcessErrors(options: ProcessErrorsOptions = {}): ProcessErrors {
  const { source = process, writeLine = errorLines.write } = options;
  let entry: string | undefined;
  let cause: string | undefined;
  let linesInWindow = 0;
  let dropped = 0;
  let isWindowOpen = false;
  const logLine = (level: 'warn' | 'error', fields: Readonly<Record<string, unknown>>) =>
    writeLine(JSON.stringify({ time: new Date().toISOString(), level, entry, ...fields }));
  const logDropped = () => {
    if (dropped > 0) logLine('error', { event: 'process-errors-dropped', count: dropped });
    dropped = 0;
  };
  const closeWindow = () => {
    isWindowOpen = false;
    linesInWindow = 0;
    logDropped();
  };
  const logBounded = (level: 'warn' | 'error', fields: Readonly<Record<string, unknown>>) => {
    if (!isWindowOpen) setTimeout(closeWindow, WINDOW_MS).unref();
    isWindowOpen = true;
    if (linesInWindow >= MAX_LINES) {
      dropped += 1;
      return;
    }
    linesInWindow += 1;
    logLine(level, fields);
  };
  source.on('uncaughtException', (error: unknown) =>
    logBounded('error', { event: 'process-error', kind: 'exception', ...makeBoundedFields(error) }),
  );
  source.on('unhandledRejection', (error: unknown) =>
    logBounded('error', { event: 'process-error', kind: 'rejection', ...makeBoundedFields(error) }),
  );
  source.removeAllListeners('warning');
  source.on('warning', (warning: Error) =>
    logBounded('warn', {
      event: 'process-warning',
      code: getCode(warning),
      ...makeBoundedFields(warning),
    }),
  );
  source.on('beforeExit', () => {
    cause ??= 'nothing left to do';
    process.exitCode ??= EXIT_NOTHING_LEFT;
  });
  // Before the line writers, which write what waits when the process exits.
  source.prependListener('exit', (code: number) => {
    logDropped();
    logLine('warn', {
      event: 'process-exit',
      code,
      reason: cause ?? 'not named',
      // Tells who called `process.exit` without naming a cause.
      ...(cause === undefined ? { stack: makeErrorFields(new Error('exit')).stack } : {}),
      uptimeS: Math.round(performance.now() / MS_PER_SECOND),
      peakMb: Math.round(process.resourceUsage().maxRSS / KIB_PER_MIB),
    });
  });
  return {
    nameEntry: (name) => {
      entry = name;
    },
    recordEndCause: (text) => {
      cause ??= text.slice(0, MAX_REASON);
    },
  };
}
