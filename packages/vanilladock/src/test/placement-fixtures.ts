/** Builders of placement records and states for tests. */
import type { PlacementRecord, SubmissionRecord } from '../lib/placement/records.js';
import type { LeaseRecord, QuarantineRecord, TaskOutcomeRecord } from '../lib/placement/records.js';
import { foldPlacement } from '../lib/placement/fold.js';
import type { PlacementRules, PlacementState } from '../lib/placement/state.js';
import { createPlacementState } from '../lib/placement/state.js';
import type { Resources } from '../lib/ports/workers.js';

export const FENCE = 7;

export const makeSize = (cores: number, memoryMb = cores * 1000): Resources => ({
  cores,
  memoryMb,
  accelerators: 0,
});

export const makeRules = (quotaCores: number): PlacementRules => ({
  getQuotaCores: () => quotaCores,
  getWeight: () => 1,
  isCurrentClaim: (_duty, fence) => fence === FENCE,
});

const HEAD = { version: 1, by: 'a', at: 0 } as const;

export const makeSubmission = (
  taskId: string,
  overrides: Partial<SubmissionRecord> = {},
): SubmissionRecord => ({
  ...HEAD,
  kind: 'task.submission',
  id: `s-${taskId}`,
  taskId,
  team: 'stalls',
  urgency: 'heavy',
  taskKind: 'kiln',
  pool: 'p',
  declared: makeSize(2),
  ...overrides,
});

export const makeLease = (taskId: string, overrides: Partial<LeaseRecord> = {}): LeaseRecord => ({
  ...HEAD,
  kind: 'task.lease',
  id: `l-${taskId}-${overrides.follows ?? -1}-${overrides.workerId ?? 'w'}`,
  taskId,
  workerId: 'w',
  size: makeSize(2),
  follows: -1,
  durationMs: 30_000,
  fence: FENCE,
  ...overrides,
});

export const makeOutcome = (
  taskId: string,
  leaseOffset: number,
  result: TaskOutcomeRecord['result'],
  overrides: Partial<TaskOutcomeRecord> = {},
): TaskOutcomeRecord => ({
  ...HEAD,
  kind: 'task.outcome',
  id: `o-${taskId}-${leaseOffset}-${result}`,
  taskId,
  leaseOffset,
  result,
  used: makeSize(1),
  reason: '',
  fence: FENCE,
  ...overrides,
});

export const makeQuarantine = (
  workerId: string,
  isQuarantined: boolean,
  follows: number,
): QuarantineRecord => ({
  ...HEAD,
  kind: 'worker.quarantine',
  id: `q-${workerId}-${follows}`,
  workerId,
  pool: 'p',
  isQuarantined,
  follows,
  reason: 'fails everything',
  fence: FENCE,
});

/** Folds records at consecutive offsets, starting at `from`. */
export const foldAll = (
  records: readonly PlacementRecord[],
  rules = makeRules(100),
  state: PlacementState = createPlacementState(),
  from = 0,
): PlacementState =>
  records.reduce(
    (folded, record, index) => foldPlacement(folded, { offset: from + index, record }, rules),
    state,
  );
