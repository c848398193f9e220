/**
 * Writes lines to a file descriptor off the event loop: those of one turn together, with one write
 * in progress at a time, bounded while the reader is slow. What is left when the process exits is
 * written synchronously, for a limited time.
 */
import { write, writeSync } from 'node:fs';

/** Writes lines to one file descriptor. */
export interface LineWriter {
  /** Takes a line without its end. */
  readonly write: (line: string) => void;
  /** Resolves once nothing waits, or after `limitMs`, to whether everything is written. */
  readonly drain: (limitMs: number) => Promise<boolean>;
}

/** While more characters than this wait for a slow reader, new lines are dropped and counted. */
const MAX_PENDING_CHARS = 1_000_000;

/** Delay before a write to a full pipe is retried, in milliseconds. */
const FULL_PIPE_RETRY_MS = 10;

/**
 * Longest time for which the exit of the process repeats writes to a full pipe, in milliseconds; a
 * process that can wait uses `drain`, and has waited enough if that was in vain.
 */
const EXIT_LIMIT_MS = 1_000;

const FULL_PIPE = 'EAGAIN';

/** Bytes on their way; those before `start` are written. */
interface WriteInProgress {
  readonly bytes: Buffer;
  start: number;
  /** Whether a thread is writing; how much it will have written is not known. */
  isInThread: boolean;
}

/** How many bytes a system call wrote; the code of its error, if it failed. */
interface WriteOutcome {
  readonly written: number;
  readonly errorCode?: string | undefined;
}

/** Writes to a descriptor in this thread. */
function writeNow(fileDescriptor: number, { bytes, start }: WriteInProgress): WriteOutcome {
  try {
    return { written: writeSync(fileDescriptor, bytes, start) };
  } catch (error) {
    return { written: 0, errorCode: (error as NodeJS.ErrnoException).code ?? 'unknown' };
  }
}

/** Writes bytes synchronously; gives up at an error or when a pipe is full for `limitMs`. */
function writeAtExit(fileDescriptor: number, bytes: Buffer, limitMs: number): void {
  const endMs = performance.now() + limitMs;
  const rest: WriteInProgress = { bytes, start: 0, isInThread: false };
  while (rest.start < bytes.length) {
    const { written, errorCode } = writeNow(fileDescriptor, rest);
    rest.start += written;
    if (errorCode !== undefined && errorCode !== FULL_PIPE) return;
    if (errorCode === FULL_PIPE && performance.now() >= endMs) return;
  }
}

/** Creates a writer to a file descriptor. */
export function createLineWriter(fileDescriptor: number): LineWriter {
  let pending = '';
  let droppedLines = 0;
  let current: WriteInProgress | undefined;
  /** Set once a write took only a part: it never blocks, so that no thread is needed. */
  let isNonBlocking = false;
  /** Whether the last `drain` has reached its limit. */
  let hasDrainedInVain = false;
  let waiters: (() => void)[] = [];

  const handleWritten = (active: WriteInProgress, { written, errorCode }: WriteOutcome) => {
    active.start += written;
    const isFull = errorCode === FULL_PIPE;
    if ((errorCode !== undefined && !isFull) || active.start >= active.bytes.length) {
      current = undefined;
      setImmediate(writePending);
      return;
    }
    isNonBlocking = true;
    if (isFull) setTimeout(() => writeRest(active), FULL_PIPE_RETRY_MS);
    else setImmediate(() => writeRest(active));
  };
  const writeRest = (active: WriteInProgress) => {
    if (isNonBlocking) {
      handleWritten(active, writeNow(fileDescriptor, active));
      return;
    }
    active.isInThread = true;
    write(fileDescriptor, active.bytes, active.start, (error, written) => {
      active.isInThread = false;
      handleWritten(active, error === null ? { written } : { written: 0, errorCode: error.code });
    });
  };
  const writePending = () => {
    if (current !== undefined) return;
    if (pending === '') {
      waiters.splice(0).forEach((resolve) => resolve());
      return;
    }
    current = { bytes: Buffer.from(pending, 'utf8'), start: 0, isInThread: false };
    pending = '';
    writeRest(current);
  };
  const addDropNotice = () => {
    if (droppedLines === 0) return;
    pending += `${JSON.stringify({ event: 'log-lines-dropped', count: droppedLines })}\n`;
    droppedLines = 0;
  };
  process.once('exit', () => {
    addDropNotice();
    // A thread completes its write before the process ends, unless the pipe is full.
    const rest = current?.isInThread === false ? current.bytes.subarray(current.start) : '';
    const bytes = Buffer.concat([Buffer.from(rest), Buffer.from(pending, 'utf8')]);
    writeAtExit(fileDescriptor, bytes, hasDrainedInVain ? 0 : EXIT_LIMIT_MS);
    pending = '';
  });
  return {
    write: (line) => {
      if (pending.length > MAX_PENDING_CHARS) {
        droppedLines += 1;
        return;
      }
      const isIdle = pending === '' && current === undefined;
      addDropNotice();
      if (isIdle) setImmediate(writePending);
      pending += `${line}\n`;
    },
    drain: (limitMs) =>
      new Promise((resolve) => {
        const timer = setTimeout(() => {
          waiters = waiters.filter((waiter) => waiter !== handleDrained);
          hasDrainedInVain = true;
          resolve(false);
        }, limitMs);
        const handleDrained = () => {
          clearTimeout(timer);
          hasDrainedInVain = false;
          resolve(true);
        };
        waiters.push(handleDrained);
        setImmediate(writePending);
      }),
  };
}
