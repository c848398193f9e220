/** Builders of records about pools and maintenance, for tests. */
import type { LogRecord, PlacedRecord } from '../lib/log/record.js';
import {
  createCapacityState,
  foldCapacity,
  type CapacityState,
} from '../lib/maintenance/capacity.js';
import type { MaintenancePolicy, PolicyOf } from '../lib/maintenance/policy.js';

export const POLICY: MaintenancePolicy = {
  maxUnavailableShare: 0.25,
  maintenanceIntervalDays: 28,
  maintenanceFrozen: false,
  maintenanceHours: [0, 24],
  drainLimitMs: 600_000,
  rebootLimitMs: 900_000,
  canaries: 0,
};

/** A record without its head; the id is derived from the offset unless given. */
export type Body = LogRecord extends infer R
  ? R extends LogRecord
    ? Omit<R, 'version' | 'id' | 'by' | 'at'> & { readonly id?: string; readonly at?: number }
    : never
  : never;

/** A log in memory with its folded state. */
export interface FakeLog {
  readonly append: (body: Body) => number;
  readonly getState: () => CapacityState;
  readonly records: readonly PlacedRecord[];
}

/** Creates a log that folds each record as it is appended. */
export const createFakeLog = (policy: Partial<MaintenancePolicy> = {}): FakeLog => {
  const getPolicy: PolicyOf = () => ({ ...POLICY, ...policy });
  const records: PlacedRecord[] = [];
  let state = createCapacityState();
  const append = (body: Body): number => {
    const offset = records.length;
    const head = { version: 1, id: `r${offset}`, by: 'e1', at: 0 } as const;
    const placed = { offset, record: { ...head, ...body } as LogRecord };
    records.push(placed);
    state = foldCapacity(state, placed, getPolicy);
    return offset;
  };
  return { append, records, getState: () => state };
};

/** Appends claims of both duties; returns their fences. */
export const appendClaims = (log: FakeLog): { readonly moves: number; readonly waves: number } => ({
  moves: log.append({ kind: 'duty.claim', duty: 'pools/moves', follows: -1, leaseMs: 10_000 }),
  waves: log.append({
    kind: 'duty.claim',
    duty: 'maintenance/waves',
    follows: -1,
    leaseMs: 10_000,
  }),
});

/** Joins instances `POOL-0`, `POOL-1`, … to a pool. */
export const appendMembers = (log: FakeLog, fence: number, pool: string, count: number): void => {
  Array.from({ length: count }, (_, index) => `${pool}-${index}`).forEach((instanceId) => {
    log.append({ kind: 'pool.join', instanceId, pool, releaseOffset: -1, fence });
  });
};
