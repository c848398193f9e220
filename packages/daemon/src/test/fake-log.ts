/** A log service in memory for tests, with a switch for each reader, and records to put into it. */
import { readFileSync } from 'node:fs';
import { Err, Ok } from 'ts-results-es';
import { encodeRecord, type LogService } from 'vanilladock';
import type { JsonLog, LogFields } from '../lib/json-log.js';
import { waitMs } from '../lib/servers.js';

/** The smokehouse's example configuration. */
export const CONFIG_TEXT = readFileSync(
  new URL('../../../../examples/smokehouse.yaml', import.meta.url),
  'utf8',
);

/** A log in memory; `first` is raised to drop old records. */
export interface FakeLog {
  readonly texts: string[];
  first: number;
  /** Opens a view that can be switched off. */
  readonly openView: () => LogService & { isDown: boolean; losesAnswers: boolean };
}

const POLL_MS = 5;

/** Creates an empty log. */
export function createFakeLog(): FakeLog {
  const texts: string[] = [];
  const log: FakeLog = {
    texts,
    first: 0,
    openView: () => {
      const down = Err({ kind: 'unavailable', message: 'down' } as const);
      const view: ReturnType<FakeLog['openView']> = {
        isDown: false,
        losesAnswers: false,
        append: async (added) => {
          if (view.isDown) return down;
          texts.push(...added);
          return view.losesAnswers ? down : Ok(texts.length - added.length);
        },
        read: async (from, limitMs) => {
          const endMs = performance.now() + Math.min(limitMs, 200);
          while (!view.isDown && from >= texts.length && performance.now() < endMs) {
            await waitMs(POLL_MS);
          }
          if (view.isDown) return down;
          const start = Math.max(from, log.first);
          const records = texts
            .slice(start)
            .map((text, index) => ({ offset: start + index, text }));
          return Ok({ records, first: log.first, next: texts.length });
        },
      };
      return view;
    },
  };
  return log;
}

/** Encodes a publication of the example configuration. */
export function encodePublication(id: string, base: number): string {
  const head = { version: 1, id, by: id, at: 0 } as const;
  return encodeRecord({ ...head, kind: 'config.publication', base, text: CONFIG_TEXT });
}

/** Creates a log whose lines are kept. */
export function createLineLog(): JsonLog & { readonly lines: readonly LogFields[] } {
  const lines: LogFields[] = [];
  const add = (fields: LogFields) => void lines.push(fields);
  return { info: add, warn: add, error: add, lines };
}

/** Waits until a condition holds; fails after a limit that no working run comes near. */
export async function waitUntil(condition: () => boolean): Promise<void> {
  const endMs = performance.now() + 20_000;
  while (!condition()) {
    if (performance.now() > endMs) throw new Error('the condition did not come to hold');
    await waitMs(POLL_MS);
  }
}
