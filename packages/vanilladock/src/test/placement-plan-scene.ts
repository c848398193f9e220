/** A pool, worker reports and inputs for tests of placement plans, and what a plan decides of a kind. */
import type { PlacementDecision } from '../lib/placement/decisions.js';
import { findPlacementDuty } from '../lib/placement/duty.js';
import type { PlanInput, PoolView, ReceivedReport } from '../lib/placement/plan-input.js';
import type { PlacementState } from '../lib/placement/state.js';
import type { TaskReport } from '../lib/ports/workers.js';
import { FENCE, makeRules, makeSize } from './placement-fixtures.js';

const DUTY = findPlacementDuty('p');

/** Makes pool `p` of workers of the same size, each in a rack of its own. */
export const makePool = (names: readonly string[], cores = 8): PoolView => ({
  name: 'p',
  workers: names.map((id) => ({
    id,
    location: { region: 'r', dataCentre: 'd', rack: `rack-${id}` },
    capacity: makeSize(cores),
    isOpen: true,
  })),
  urgentReserveShare: 0,
  taskLeaseMs: 30_000,
});

/** Makes a report of each worker, created and received at the given time. */
export const makeReports = (
  names: readonly string[],
  nowMs: number,
  tasks: readonly TaskReport[] = [],
): Map<string, ReceivedReport> =>
  new Map(
    names.map((id) => {
      const reportId = `${id}-${nowMs}`;
      const report = { reportId, plannerFences: { [DUTY]: FENCE }, tasks };
      return [id, { report, receivedMs: nowMs }];
    }),
  );

/** Makes the input of a plan at 1,000 ms, by a planner whose claim is in force. */
export const makeInput = (
  state: PlacementState,
  overrides: Partial<PlanInput> = {},
): PlanInput => ({
  state,
  rules: makeRules(100),
  duty: {
    duty: DUTY,
    fence: FENCE,
    sinceMs: 0,
    heldUntilMs: Infinity,
    isSuperseded: false,
    predecessorGraceMs: 0,
  },
  pools: [makePool(['a', 'b'])],
  reports: makeReports(['a', 'b'], 1_000),
  nowMs: 1_000,
  at: 0,
  ...overrides,
});

export const listGrants = (decisions: readonly PlacementDecision[]) =>
  decisions.flatMap((decision) => (decision.kind === 'grant' ? [decision.record] : []));

export const listCommands = (decisions: readonly PlacementDecision[], kind: string) =>
  decisions.flatMap((decision) =>
    decision.kind === 'command' && decision.command.kind === kind ? [decision.command] : [],
  );

export const makeRunning = (taskId: string, fencingToken: number): TaskReport => ({
  taskId,
  fencingToken,
  phase: 'running',
  used: makeSize(1),
  share: 1,
});
