/** Generates the log records of a fleet of a given size, for measuring the fold. */
import {
  encodeRecord,
  MAINTENANCE_DUTY,
  MOVES_DUTY,
  type Instance,
  type LogRecord,
  type StoredRecord,
} from 'vanilladock';
import { buildConfigText, type FleetSize } from '../design-size.js';

type Body = LogRecord extends infer R
  ? R extends LogRecord
    ? Omit<R, 'version' | 'id' | 'by' | 'at'>
    : never
  : never;

/** A generator of stored records with consecutive offsets. */
export interface RecordMaker {
  readonly getNextOffset: () => number;
  readonly makeStored: (body: Body) => StoredRecord;
}

const START_MS = Date.UTC(2026, 0, 1);
const LEASE_MS = 15_000;

/** Creates a generator that starts at offset 0. */
export function createRecordMaker(): RecordMaker {
  let nextOffset = 0;
  return {
    getNextOffset: () => nextOffset,
    makeStored: (body) => {
      const head = {
        version: 1,
        id: `record-${nextOffset}`,
        by: 'entry-0',
        at: START_MS + nextOffset,
      } as const;
      const stored = { offset: nextOffset, text: encodeRecord({ ...head, ...body }) };
      nextOffset += 1;
      return stored;
    },
  };
}

/** Makes the first records: the configuration and the claims on both duties. */
export function makeFirstRecords(size: FleetSize, maker: RecordMaker): readonly StoredRecord[] {
  const text = buildConfigText(size);
  const claim = { kind: 'duty.claim', follows: -1, leaseMs: LEASE_MS } as const;
  return [
    maker.makeStored({ kind: 'config.publication', base: -1, text }),
    maker.makeStored({ ...claim, duty: MOVES_DUTY }),
    maker.makeStored({ ...claim, duty: MAINTENANCE_DUTY }),
  ];
}

/** Makes the joins of all workers; their fence is the claim on moves at offset 1. */
export function makeJoins(
  workers: readonly Instance[],
  maker: RecordMaker,
): readonly StoredRecord[] {
  return workers.map(({ id: instanceId, attributes }) =>
    maker.makeStored({
      kind: 'pool.join',
      instanceId,
      pool: attributes.pool ?? '',
      releaseOffset: -1,
      fence: 1,
    }),
  );
}

/** Makes task submissions, spread evenly over teams, kinds and pools. */
export function makeSubmissions(
  count: number,
  size: FleetSize,
  maker: RecordMaker,
): readonly StoredRecord[] {
  return Array.from({ length: count }, (_, index) =>
    maker.makeStored({
      kind: 'task.submission',
      taskId: `task-${index}`,
      team: `team-${index % size.teams}`,
      urgency: 'heavy',
      taskKind: `kind-${index % 20}`,
      pool: `pool-${index % size.pools}`,
      declared: { cores: 1, memoryMb: 512, accelerators: 0 },
    }),
  );
}
