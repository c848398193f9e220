/**
 * Stand-in for the platform's log service: an append-only list in memory over HTTP.
 *
 * `POST /records` with `{"texts": [...]}` appends and answers `{"offset": N}`.
 * `GET /records?from=N&waitMs=M` answers `{"records", "first", "next"}`, waiting for the first record.
 * `PUT /faults` sets some of the fields of `LogFaults`.
 */
import {
  answerJson,
  readBody,
  startServer,
  type Handler,
  type RunningServer,
} from './json-server.js';

/** Faults of the stand-in that tests set. */
export interface LogFaults {
  readonly isDown: boolean;
  /** Appends take effect but are answered with 504. */
  readonly losesAnswers: boolean;
  readonly delayMs: number;
  /** Records kept; older ones are dropped. */
  readonly keep: number;
  /** Of the reads that wait when a record comes, those answered; the others wait on. */
  readonly readersServed: number;
}

/** A running log service stand-in. */
export interface LogServer extends RunningServer {
  readonly setFaults: (faults: Partial<LogFaults>) => void;
  readonly listTexts: () => readonly string[];
  /** Every text that was ever appended, also those dropped since. */
  readonly listAllTexts: () => readonly string[];
  /** The oldest offset that is kept. */
  readonly getFirst: () => number;
  /** Appends so far that took effect. */
  readonly countAppends: () => number;
}

const NO_FAULTS: LogFaults = {
  isDown: false,
  losesAnswers: false,
  delayMs: 0,
  keep: Infinity,
  readersServed: Infinity,
};
const MAX_SLICE = 1000;
const MAX_WAIT_MS = 30_000;

/** Starts the log service stand-in. */
export async function startLogServer(port = 0): Promise<LogServer> {
  let faults = NO_FAULTS;
  const texts: string[] = [];
  const allTexts: string[] = [];
  let first = 0;
  let appends = 0;
  const waiters = new Set<() => void>();

  const getNext = () => first + texts.length;
  const append = (added: readonly string[]) => {
    const offset = getNext();
    texts.push(...added);
    allTexts.push(...added);
    const surplus = Math.max(0, texts.length - faults.keep);
    texts.splice(0, surplus);
    first += surplus;
    appends += 1;
    [...waiters].slice(0, faults.readersServed).forEach((wake) => wake());
    return offset;
  };
  const waitForNext = (from: number, waitMs: number) =>
    new Promise<void>((resolve) => {
      if (from < getNext() || waitMs <= 0) {
        resolve();
        return;
      }
      const wake = () => {
        clearTimeout(timer);
        waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, Math.min(waitMs, MAX_WAIT_MS));
      waiters.add(wake);
    });
  const handleAppend: Handler = async (request, response) => {
    const { texts: added } = JSON.parse(await readBody(request)) as { texts: string[] };
    const offset = append(added);
    if (faults.losesAnswers) answerJson(response, 504, { message: 'no answer' });
    else answerJson(response, 200, { offset });
  };
  const handleRead: Handler = async (request, response) => {
    const url = new URL(request.url ?? '/', 'http://stand-in');
    const from = Number(url.searchParams.get('from') ?? 0);
    await waitForNext(from, Number(url.searchParams.get('waitMs') ?? 0));
    if (faults.isDown) {
      answerJson(response, 503, { message: 'down' });
      return;
    }
    const start = Math.max(from, first);
    const records = texts
      .slice(start - first, start - first + MAX_SLICE)
      .map((text, index) => ({ offset: start + index, text }));
    answerJson(response, 200, { records, first, next: getNext() });
  };
  const setFaults = (changed: Partial<LogFaults>) => {
    faults = { ...faults, ...changed };
    if (faults.isDown) [...waiters].forEach((wake) => wake());
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
    getFirst: () => first,
    countAppends: () => appends,
  };
}
