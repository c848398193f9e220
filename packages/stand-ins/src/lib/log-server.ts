/**
 * Stand-in for the platform's log service: an append-only in-memory list served over HTTP.
 *
 * `POST /records` with `{"texts": [...]}` appends records and answers `{"offset": N}`, the first
 * one's offset.
 * `GET /records?from=N&waitMs=M` answers `{"records", "first", "next"}`: at most `MAX_READ_RECORDS`
 * retained records from offset `from` on, the offset of the oldest retained record, and the offset
 * that the next record will get. If there is no record at or after `from` yet, it waits up to
 * `waitMs` milliseconds for one, but at most `MAX_WAIT_MS`.
 * `PUT /faults` sets the given fields of `LogFaults` and leaves the others.
 */
import {
  answerJson,
  readBody,
  startServer,
  type Handler,
  type RunningServer,
} from './json-server.js';

/** Faults that a test can inject. */
export interface LogFaults {
  /** Whether appends and reads, also waiting ones, are answered with 503. */
  readonly isDown: boolean;
  /** Whether appends take effect but are answered with 504. */
  readonly losesAnswers: boolean;
  /** Delay before an append or a read is handled, in milliseconds. */
  readonly delayMs: number;
  /** Number of newest records to retain; older ones are dropped. */
  readonly keep: number;
  /** Number of waiting reads that are answered when a record arrives; the others keep waiting. */
  readonly readersServed: number;
}

/** A running stand-in for the log service. */
export interface LogServer extends RunningServer {
  /** Sets the given faults and leaves the others. */
  readonly setFaults: (faults: Partial<LogFaults>) => void;
  /** Texts of the retained records, oldest first. */
  readonly listTexts: () => readonly string[];
  /** Texts of all records ever appended, oldest first, including those dropped due to `keep`. */
  readonly listAllTexts: () => readonly string[];
  /** Offset of the oldest retained record, or of the next record if none is retained. */
  readonly getFirstOffset: () => number;
  /** Number of append calls that took effect; each may append several records. */
  readonly countAppends: () => number;
}

const NO_FAULTS: LogFaults = {
  isDown: false,
  losesAnswers: false,
  delayMs: 0,
  keep: Infinity,
  readersServed: Infinity,
};
const MAX_READ_RECORDS = 1000;
const MAX_WAIT_MS = 30_000;

/** Starts an empty log stand-in without faults; with `port` 0 the kernel chooses the port. */
export async function startLogServer(port = 0): Promise<LogServer> {
  let faults = NO_FAULTS;
  const texts: string[] = [];
  const allTexts: string[] = [];
  let firstOffset = 0;
  let appendCount = 0;
  const waitingReads = new Set<() => void>();

  const getNextOffset = () => firstOffset + texts.length;
  const append = (newTexts: readonly string[]) => {
    const offset = getNextOffset();
    texts.push(...newTexts);
    allTexts.push(...newTexts);
    const surplusCount = Math.max(0, texts.length - faults.keep);
    texts.splice(0, surplusCount);
    firstOffset += surplusCount;
    appendCount += 1;
    [...waitingReads].slice(0, faults.readersServed).forEach((wake) => wake());
    return offset;
  };
  const waitForRecord = (from: number, waitMs: number) =>
    new Promise<void>((resolve) => {
      if (from < getNextOffset() || waitMs <= 0) {
        resolve();
        return;
      }
      const wake = () => {
        clearTimeout(timer);
        waitingReads.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, Math.min(waitMs, MAX_WAIT_MS));
      waitingReads.add(wake);
    });
  const handleAppend: Handler = async (request, response) => {
    const { texts: newTexts } = JSON.parse(await readBody(request)) as { texts: string[] };
    const offset = append(newTexts);
    if (faults.losesAnswers) answerJson(response, 504, { message: 'no answer' });
    else answerJson(response, 200, { offset });
  };
  const handleRead: Handler = async (request, response) => {
    const url = new URL(request.url ?? '/', 'http://stand-in');
    const from = Number(url.searchParams.get('from') ?? 0);
    await waitForRecord(from, Number(url.searchParams.get('waitMs') ?? 0));
    if (faults.isDown) {
      answerJson(response, 503, { message: 'down' });
      return;
    }
    const start = Math.max(from, firstOffset);
    const records = texts
      .slice(start - firstOffset, start - firstOffset + MAX_READ_RECORDS)
      .map((text, index) => ({ offset: start + index, text }));
    answerJson(response, 200, { records, first: firstOffset, next: getNextOffset() });
  };
  const setFaults = (changes: Partial<LogFaults>) => {
    faults = { ...faults, ...changes };
    if (faults.isDown) [...waitingReads].forEach((wake) => wake());
  };
  const handleFaults: Handler = async (request, response) => {
    setFaults(JSON.parse(await readBody(request)) as Partial<LogFaults>);
    answerJson(response, 200, faults);
  };
  const handle: Handler = (request, response) => {
    if (request.method === 'PUT') {
      handleFaults(request, response);
      return;
    }
    setTimeout(() => {
      if (faults.isDown) answerJson(response, 503, { message: 'down' });
      else if (request.method === 'POST') handleAppend(request, response);
      else handleRead(request, response);
    }, faults.delayMs);
  };

  const server = await startServer(handle, port);
  return {
    ...server,
    setFaults,
    listTexts: () => texts,
    listAllTexts: () => allTexts,
    getFirstOffset: () => firstOffset,
    countAppends: () => appendCount,
  };
}
