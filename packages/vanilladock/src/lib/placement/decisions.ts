/** Placement decisions. Each carries its reason and the alternative that was rejected. */
import type { WorkerCommand } from '../ports/workers.js';
import type { LeaseRecord, QuarantineRecord, TaskOutcomeRecord } from './records.js';

/** Why a decision was made. */
export interface Rationale {
  readonly reason: string;
  /** The alternative that was considered and rejected. */
  readonly refused: string;
}

/** Appends a lease that places a task on a worker. */
export interface GrantDecision extends Rationale {
  readonly kind: 'grant';
  readonly record: LeaseRecord;
}

/** Appends the outcome of a lease or of a queued task. */
export interface EndDecision extends Rationale {
  readonly kind: 'end';
  readonly record: TaskOutcomeRecord;
}

/** Appends that a worker is quarantined or readmitted. */
export interface QuarantineDecision extends Rationale {
  readonly kind: 'quarantine';
  readonly record: QuarantineRecord;
}

/** Sends a command to a worker. */
export interface CommandDecision extends Rationale {
  readonly kind: 'command';
  readonly workerId: string;
  readonly command: WorkerCommand;
}

/** Any placement decision. */
export type PlacementDecision = GrantDecision | EndDecision | QuarantineDecision | CommandDecision;

/** Builds the fields of a decision's log line. */
function buildLogFields(decision: PlacementDecision): Readonly<Record<string, unknown>> {
  switch (decision.kind) {
    case 'grant': {
      const { taskId, workerId, size, follows } = decision.record;
      return { taskId, workerId, size, follows };
    }
    case 'end': {
      const { taskId, leaseOffset, result, used } = decision.record;
      return { taskId, leaseOffset, result, used };
    }
    case 'quarantine': {
      const { workerId, isQuarantined } = decision.record;
      return { workerId, isQuarantined };
    }
    case 'command':
      return { workerId: decision.workerId, ...decision.command };
    default:
      return decision satisfies never;
  }
}

/** Formats a decision as one line of JSON; `at` is in milliseconds since 1970. */
export function formatDecision(decision: PlacementDecision, at: number): string {
  const { reason, refused } = decision;
  const kind = decision.kind === 'command' ? decision.command.kind : decision.kind;
  const fields = buildLogFields(decision);
  return JSON.stringify({ at, event: 'placement', ...fields, decision: kind, reason, refused });
}
