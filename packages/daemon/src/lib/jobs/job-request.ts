/** Callers' requests about jobs and their answers, as the instances hand them to each other. */
import type { Member } from 'vanilladock/lib/duties/claim-table.js';
import type { PoolDemand } from 'vanilladock/lib/lending/plan-lending.js';
import type { JobPolicy, JobSpec } from 'vanilladock/lib/jobs/spec.js';

/** When a request that could not be served now is worth repeating. */
export const RETRY_AFTER_MS = 1_000;

/** A request about a job, for the planner of its pool. */
export type JobRequest =
  | {
      readonly kind: 'submit';
      readonly pool: string;
      readonly spec: JobSpec;
      readonly policy: JobPolicy;
    }
  | { readonly kind: 'status'; readonly pool: string; readonly jobId: string }
  | { readonly kind: 'cancel'; readonly pool: string; readonly jobId: string }
  | { readonly kind: 'pending'; readonly pool: string; readonly route: string }
  /** Takes no new tasks onto a worker for a moment and moves its lasting ones away. */
  | { readonly kind: 'evacuate'; readonly pool: string; readonly workerId: string }
  /** Asks for a pool's demand and tells the cores that lending can bring it to. */
  | { readonly kind: 'demand'; readonly pool: string; readonly reachableCores: number }
  /** The worker's process was ended by an order. */
  | { readonly kind: 'life-ended'; readonly pool: string; readonly workerId: string };

/** State of a job as its caller sees it. */
export type JobState = 'queued' | 'running' | 'completed' | 'failed' | 'cancelled';

/** Answer to a request; a `refused` job has not run and never will. */
export type JobReply =
  | { readonly kind: 'accepted' }
  | {
      readonly kind: 'refused';
      /** What stands in the way: the queue's own backlog or limits, or the store. */
      readonly cause: 'queue' | 'store';
      readonly why: string;
      /** When a retry is likely to be admitted; undefined when it never is. */
      readonly retryAfterMs: number | undefined;
    }
  | { readonly kind: 'state'; readonly state: JobState }
  | { readonly kind: 'no-such-job' }
  | { readonly kind: 'cancelled' }
  | { readonly kind: 'pending'; readonly count: number }
  /** What a worker that is being emptied still has. */
  | { readonly kind: 'content'; readonly lastingTasks: number; readonly batchTasks: number }
  | { readonly kind: 'demand'; readonly demand: PoolDemand }
  /** Nothing was done; another instance plans the pool. */
  | { readonly kind: 'elsewhere'; readonly holder: Member }
  /** Nothing was done; asking again later may help. */
  | { readonly kind: 'unavailable'; readonly why: string; readonly retryAfterMs: number }
  /** A submission or cancel may have taken effect. */
  | { readonly kind: 'unknown'; readonly why: string };
