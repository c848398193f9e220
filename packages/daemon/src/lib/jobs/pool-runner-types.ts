/** Interface of the runner of a pool's planner: its dependencies, its figures and what it answers. */
import type { BehaviorSubject } from 'rxjs';
import type { Claim } from 'vanilladock/lib/duties/claim-table.js';
import type { TimedHandOver } from 'vanilladock/lib/jobs/hand-over.js';
import type { QueueFigures } from 'vanilladock/lib/jobs/standing-queue.js';
import type { ExclusionCounts } from 'vanilladock/lib/jobs/worker-exclusion.js';
import type { Advisor } from 'vanilladock/lib/ports/fleet.js';
import type { KeyedStore } from 'vanilladock/lib/ports/keyed-store.js';
import type { TaskWorkers, WorkerEntry } from 'vanilladock/lib/ports/task-workers.js';
import type { InterferenceFigures } from 'vanilladock/lib/interference/pool-interference.js';
import type { TeamFigures } from 'vanilladock/lib/teams/pool-teams.js';
import type { TeamSources } from 'vanilladock/lib/teams/team-budget.js';
import type { JsonLog } from '../json-log.js';
import type { Predecessor } from './duty-notices.js';
import type { JobReply, JobRequest } from './job-request.js';

/** Dependencies that the instance provides to the runner of every pool. */
export interface PoolSources {
  readonly store: KeyedStore;
  /** Number of partitions of each topic that pools are stored in. */
  readonly storePartitions: number;
  readonly workers: TaskWorkers;
  readonly advisor: Advisor;
  /** Entries of all workers by id. */
  readonly entries: BehaviorSubject<ReadonlyMap<string, WorkerEntry>>;
  /** How long the status of an ended job can be queried, in milliseconds. */
  readonly statusMs: number;
  /** Absent where no teams are known. */
  readonly teams?: TeamSources | undefined;
  readonly log: JsonLog;
}

/** Dependencies of a runner under one claim. */
export interface PoolRunnerOptions extends PoolSources {
  readonly pool: string;
  readonly claim: Claim;
  /** Says whether orders may be given under the claim now. */
  readonly isInForce: () => boolean;
  /** Queries the preceding planner. */
  readonly queryPredecessor: () => Promise<Predecessor>;
  /** Called when a later planner has taken over the pool. */
  readonly handleLost: (why: string) => void;
}

/** Figures of a pool for the metrics. */
export interface PoolFigures extends QueueFigures {
  readonly pool: string;
  readonly workers: ExclusionCounts;
  readonly teams: readonly TeamFigures[];
  readonly interference: InterferenceFigures;
  /** How long no plan was made because the claim is not in force; 0 while plans are made. */
  readonly pausedMs: number;
}

/** A running planner of one pool. */
export interface PoolRunner {
  readonly claim: Claim;
  /**
   * Answers a request; `unavailable` while the stored state is loading and after a stop. Never
   * rejects: an unexpected error is logged and answered as `unknown`.
   */
  readonly answer: (request: JobRequest) => Promise<JobReply>;
  /**
   * Closes those of the queues of which the pool has no job, so that it accepts none of them any more
   * under a version older than the given one; resolves to their names once that is stored.
   */
  readonly closeQueues: (queues: readonly string[], version: number) => Promise<readonly string[]>;
  /** Returns the present figures; undefined while the stored state is loading. */
  readonly getFigures: () => PoolFigures | undefined;
  /**
   * Returns what the next planner has to know; undefined before a stop, and if neither this planner
   * nor the one before it has told anything.
   */
  readonly getHandOver: () => TimedHandOver | undefined;
  readonly stop: () => void;
}
