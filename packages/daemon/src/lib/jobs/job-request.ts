/** Requests about jobs and the replies to them, as instances exchange them. */
import type { Member } from 'vanilladock/lib/duties/claim-table.js';
import type { PoolDemand } from 'vanilladock/lib/lending/plan-lending.js';
import type { PoolReport } from 'vanilladock/lib/teams/allotment-ledger.js';
import type { AllotMessage } from 'vanilladock/lib/teams/team-budget.js';
import type { CallReceipt } from 'vanilladock/lib/jobs/call-receipt.js';
import type { JobPolicy, JobSpec } from 'vanilladock/lib/jobs/spec.js';

/** Delay in milliseconds after which a request that could not be served is worth retrying. */
export const RETRY_AFTER_MS = 1_000;

/** Queue of a request, and the version of the configuration by which its pool was chosen. */
export interface QueueOrigin {
  /** Name of the queue. */
  readonly queue: string;
  readonly version: number;
}

/** A request about a job, for the planner of its pool. */
export type JobRequest =
  | {
      readonly kind: 'submit';
      readonly pool: string;
      readonly spec: JobSpec;
      readonly policy: JobPolicy;
      /** Name of the caller's team; undefined if the call needed no key. */
      readonly team?: string | undefined;
      /** Queue that the job is submitted to; undefined if the pool is not one of several. */
      readonly origin?: QueueOrigin | undefined;
      /** For the log; undefined if it was not received by an instance of this version. */
      readonly receipt?: CallReceipt | undefined;
    }
  /**
   * Queries whether the pool has a job of a queue that is sent to another pool now; if not, the pool
   * accepts none any more that is submitted under an older version.
   */
  | {
      readonly kind: 'lookup';
      readonly pool: string;
      readonly jobId: string;
      readonly queue: string;
      readonly version: number;
      /** As for `submit`. */
      readonly team?: string | undefined;
    }
  | {
      readonly kind: 'status';
      readonly pool: string;
      readonly jobId: string;
      /** As for `submit`. */
      readonly team?: string | undefined;
      /** As for `submit`; under a version that is too old, an unknown job may be in another pool. */
      readonly origin?: QueueOrigin | undefined;
    }
  | {
      readonly kind: 'cancel';
      readonly pool: string;
      readonly jobId: string;
      /** As for `submit`. */
      readonly team?: string | undefined;
      /** As for `submit`. */
      readonly origin?: QueueOrigin | undefined;
      /**
       * Whether the version of `origin` sends the queue to another pool, which is asked too; then an
       * unknown job is excluded as by a `lookup`, without a record of its own.
       */
      readonly isFormerPool?: boolean | undefined;
      /** As for `submit`. */
      readonly receipt?: CallReceipt | undefined;
    }
  /** Queries how many jobs of a queue, or of a route where queues are not known, are pending. */
  | {
      readonly kind: 'pending';
      readonly pool: string;
      readonly route: string;
      readonly queue?: string | undefined;
    }
  /** Stops placement on a worker for a short time and moves its lasting tasks to other workers. */
  | { readonly kind: 'evacuate'; readonly pool: string; readonly workerId: string }
  /** Queries a pool's demand and states the cores that lending can bring the pool to. */
  | { readonly kind: 'demand'; readonly pool: string; readonly reachableCores: number }
  /** Sets what the teams may use in a pool. */
  | { readonly kind: 'allot'; readonly pool: string; readonly message: AllotMessage }
  /** Reports that an order has ended a process of the worker, which may have started again since. */
  | { readonly kind: 'life-ended'; readonly pool: string; readonly workerId: string };

/** State of a job as its caller sees it. */
export type JobState = 'queued' | 'running' | 'completed' | 'failed' | 'cancelled';

/** Reply to a request; a `refused` job has not run and never will. */
export type JobReply =
  /** The submitted job is stored, or the notice of an ended worker was taken. */
  | { readonly kind: 'accepted' }
  | {
      readonly kind: 'refused';
      /** Whether the backlog or limits of the queue caused the refusal, or the store did. */
      readonly cause: 'queue' | 'store';
      readonly why: string;
      /** Milliseconds after which a retry is likely to be admitted; undefined when it never is. */
      readonly retryAfterMs: number | undefined;
    }
  | { readonly kind: 'state'; readonly state: JobState }
  /** In reply to a cancel: nor will a submission of the job be accepted that arrives later. */
  | { readonly kind: 'no-such-job' }
  /** The id of the submitted job is that of another team's or queue's job; nothing was done. */
  | { readonly kind: 'foreign-job' }
  /** The job has ended, by this cancel or before it, and that is stored. */
  | { readonly kind: 'cancelled' }
  | { readonly kind: 'pending'; readonly count: number }
  /** Tasks that are left on a worker that is being evacuated. */
  | { readonly kind: 'content'; readonly lastingTasks: number; readonly batchTasks: number }
  | { readonly kind: 'demand'; readonly demand: PoolDemand }
  /** What the teams use and may use in a pool, by team. */
  | { readonly kind: 'team-use'; readonly report: PoolReport }
  /** Nothing was done; another instance plans the pool. */
  | { readonly kind: 'elsewhere'; readonly holder: Member }
  /** Nothing was done; a later retry may succeed. */
  | { readonly kind: 'unavailable'; readonly why: string; readonly retryAfterMs: number }
  /** A submission or cancel may have taken effect. */
  | { readonly kind: 'unknown'; readonly why: string };

/** Makes the reply to a request of which nothing was done and that is worth repeating. */
export function makeUnavailable(why: string, retryAfterMs: number = RETRY_AFTER_MS): JobReply {
  return { kind: 'unavailable', why, retryAfterMs };
}
