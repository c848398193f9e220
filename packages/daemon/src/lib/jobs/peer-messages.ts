/**
 * Checks the messages that instances exchange. The port for peers is open to the network, so a body
 * is used only if it has the shape of a message.
 */
import type { DutyNotice, PeerDutyView } from 'vanilladock/lib/duties/authority.js';
import { memberSchema, type Member } from 'vanilladock/lib/duties/claim-table.js';
import { handOverSchema } from 'vanilladock/lib/jobs/hand-over.js';
import { resourcesSchema } from 'vanilladock/lib/placement/resources.js';
import { teamShareSchema } from 'vanilladock/lib/teams/team-budget.js';
import { z } from 'zod';
import type { JobReply, JobRequest } from './job-request.js';

/** A duty notice with its sender. */
export interface SentNotice extends DutyNotice {
  readonly member: Member;
}

const stepSchema = z.object({
  count: z.int().nonnegative(),
  size: resourcesSchema,
  estimateMs: z.number(),
  dependsOn: z.array(z.int().nonnegative()),
  isCheckpointing: z.boolean(),
  isGang: z.boolean(),
  isSameRack: z.boolean(),
  requiredLabel: z.string().optional(),
  dataRack: z.string().optional(),
  maxPerWorker: z.number().optional(),
  isSpeculative: z.boolean(),
  isLasting: z.boolean(),
  image: z.string(),
  tailTargetMs: z.number().optional(),
  isFilling: z.boolean(),
  maxUnavailable: z.number().optional(),
});
const specSchema = z.object({
  id: z.string().min(1),
  route: z.string(),
  payload: z.string(),
  steps: z.array(stepSchema).min(1),
  repeatCount: z.number(),
  startAtMs: z.number(),
  intervalMs: z.number(),
});
const policySchema = z.object({
  priority: z.number(),
  maxAttempts: z.number(),
  stretch: z.number(),
  targetLatencyMs: z.number(),
  advice: z
    .object({ decideMs: z.number(), perWorkerMs: z.number(), validMs: z.number() })
    .optional(),
});
const pool = z.string().min(1);
const workerId = z.string().min(1);
const team = z.string().optional();
const origin = z.object({ queue: z.string(), version: z.number() }).optional();
const receipt = z.object({ instance: z.string(), receivedAtMs: z.number() }).optional();
const jobSchema = z.object({ pool, jobId: z.string().min(1), team });

const requestSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('submit'),
    pool,
    spec: specSchema,
    policy: policySchema,
    team,
    origin,
    receipt,
  }),
  jobSchema.extend({ kind: z.literal('lookup'), queue: z.string(), version: z.number() }),
  jobSchema.extend({ kind: z.literal('status'), origin }),
  jobSchema.extend({
    kind: z.literal('cancel'),
    origin,
    isFormerPool: z.boolean().optional(),
    receipt,
  }),
  z.object({
    kind: z.literal('pending'),
    pool,
    route: z.string(),
    queue: z.string().optional(),
  }),
  z.object({ kind: z.literal('evacuate'), pool, workerId }),
  z.object({ kind: z.literal('demand'), pool, reachableCores: z.number() }),
  z.object({
    kind: z.literal('allot'),
    pool,
    message: z.object({
      token: z.number(),
      sequence: z.number(),
      shares: z.record(z.string(), teamShareSchema),
      planner: z.number().optional(),
    }),
  }),
  z.object({ kind: z.literal('life-ended'), pool, workerId }),
]);

const claimSchema = z.object({ duty: z.string(), holder: z.string(), token: z.number() });
const noticeSchema = z.object({
  member: memberSchema,
  storeAgeMs: z.number(),
  held: z.array(claimSchema),
});
const viewSchema = z.object({
  newer: z.array(claimSchema),
  claiming: z.array(z.string()),
  handOvers: z.array(handOverSchema.extend({ duty: z.string() })).optional(),
});

/** Kinds of replies whose further fields are only passed on. */
const OTHER_REPLIES = [
  'accepted',
  'refused',
  'state',
  'no-such-job',
  'foreign-job',
  'cancelled',
  'pending',
  'content',
  'demand',
  'team-use',
  'unavailable',
  'unknown',
] as const satisfies readonly Exclude<JobReply['kind'], 'elsewhere'>[];
const replySchema = z.union([
  z.object({ kind: z.literal('elsewhere'), holder: memberSchema }),
  z.object({ kind: z.enum(OTHER_REPLIES) }),
]);

/** Says whether a body is a request about jobs. */
export function isJobRequest(body: unknown): body is JobRequest {
  return requestSchema.safeParse(body).success;
}

/** Says whether a body is a notice of a duty's holder. */
export function isNotice(body: unknown): body is SentNotice {
  return noticeSchema.safeParse(body).success;
}

/** Says whether a body is the reply to a request about jobs. */
export function isJobReply(body: unknown): body is JobReply {
  return replySchema.safeParse(body).success;
}

/** Says whether a body is the answer to a notice. */
export function isDutyView(body: unknown): body is PeerDutyView {
  return viewSchema.safeParse(body).success;
}
