/** An in-memory log service for tests, whose clients can each be cut off, and test helpers. */
import { readFileSync } from 'node:fs';
import { Err, Ok } from 'ts-results-es';
import { encodeRecord, type LogService } from 'vanilladock';
import type { JsonLog, LogFields } from '../lib/json-log.js';
import { waitMs } from '../lib/servers.js';

/** The text of the example configuration. */
export const CONFIG_TEXT = readFileSync(
  new URL('../../../../examples/smokehouse.yaml', import.meta.url),
  'utf8',
);

/** An in-memory log; raising `first` drops older records. */
export interface FakeLog {
  readonly texts: string[];
  first: number;
  /** Opens a client that can be cut off from the log, or that loses the answers to its appends. */
  readonly openClient: () => LogService & { isDown: boolean; losesAnswers: boolean };
}

const POLL_INTERVAL_MS = 5;

/** Creates an empty in-memory log. */
export function createFakeLog(): FakeLog {
  const texts: string[] = [];
  const log: FakeLog = {
    texts,
    first: 0,
    openClient: () => {
      const unavailable = Err({ kind: 'unavailable', message: 'down' } as const);
      const client: ReturnType<FakeLog['openClient']> = {
        isDown: false,
        losesAnswers: false,
        append: async (added) => {
          if (client.isDown) return unavailable;
          texts.push(...added);
          return client.losesAnswers ? unavailable : Ok(texts.length - added.length);
        },
        read: async (from, limitMs) => {
          const endMs = performance.now() + Math.min(limitMs, 200);
          while (!client.isDown && from >= texts.length && performance.now() < endMs) {
            await waitMs(POLL_INTERVAL_MS);
          }
          if (client.isDown) return unavailable;
          const start = Math.max(from, log.first);
          const records = texts
            .slice(start)
            .map((text, index) => ({ offset: start + index, text }));
          return Ok({ records, first: log.first, next: texts.length });
        },
      };
      return client;
    },
  };
  return log;
}

/** Encodes a publication of the example configuration. */
export function encodePublication(id: string, base: number): string {
  const head = { version: 1, id, by: id, at: 0 } as const;
  return encodeRecord({ ...head, kind: 'config.publication', base, text: CONFIG_TEXT });
}

/** Creates a logger that keeps its lines. */
export function createRecordingLog(): JsonLog & { readonly lines: readonly LogFields[] } {
  const lines: LogFields[] = [];
  const add = (fields: LogFields) => void lines.push(fields);
  return { info: add, warn: add, error: add, lines };
}

/** Waits until a condition holds; rejects after a time limit far above that of a passing run. */
export async function waitUntil(condition: () => boolean): Promise<void> {
  const endMs = performance.now() + 20_000;
  while (!condition()) {
    if (performance.now() > endMs) throw new Error('the condition did not hold in time');
    await waitMs(POLL_INTERVAL_MS);
  }
}
