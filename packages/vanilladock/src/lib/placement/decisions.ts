/** Decisions about placement. Each carries its reason and the alternative that was refused. */
import type { WorkerCommand } from '../ports/workers.js';
import type { LeaseRecord, QuarantineRecord, TaskOutcomeRecord } from './records.js';

/** Why a decision was taken. */
export interface Grounds {
  readonly reason: string;
  /** The alternative that was weighed and not taken. */
  readonly refused: string;
}

/** Appends a lease that places a task on a worker. */
export interface GrantDecision extends Grounds {
  readonly kind: 'grant';
  readonly record: LeaseRecord;
}

/** Appends how a lease or a waiting task ended. */
export interface EndDecision extends Grounds {
  readonly kind: 'end';
  readonly record: TaskOutcomeRecord;
}

/** Appends that a worker is taken out of use or put back. */
export interface QuarantineDecision extends Grounds {
  readonly kind: 'quarantine';
  readonly record: QuarantineRecord;
}

/** Sends a command to a worker. */
export interface CommandDecision extends Grounds {
  readonly kind: 'command';
  readonly workerId: string;
  readonly command: WorkerCommand;
}

/** Any decision about placement. */
export type PlacementDecision = GrantDecision | EndDecision | QuarantineDecision | CommandDecision;

/** Builds the facts of a decision that its log line shows. */
function buildFacts(decision: PlacementDecision): Readonly<Record<string, unknown>> {
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
  const facts = buildFacts(decision);
  return JSON.stringify({ at, event: 'placement', ...facts, decision: kind, reason, refused });
}
