/**
 * Schema of the fleet's configuration: the data centres, pools, services and teams, fleet-wide
 * default values, and a short list of exceptions, each with a written reason.
 */
import { z } from 'zod';

const NAME = z.string().regex(/^[a-z0-9][a-z0-9-]*$/, 'use lower-case letters, digits and hyphens');
const SHARE = z.number().min(0).max(1);
const MILLISECONDS = z.number().int().positive();
const COUNT = z.number().int().positive();

/** Urgency of requests and tasks, most urgent first. */
export const URGENCIES = ['quick', 'heavy', 'patient'] as const;

/** Urgency of a request or task. */
export type Urgency = (typeof URGENCIES)[number];

const valuesShape = {
  /** Longest time from arrival to answer, in milliseconds. */
  deadlineMs: MILLISECONDS.max(86_400_000),
  /** Largest request body, in bytes. */
  maxBodyBytes: COUNT,
  /** Requests that may wait for a slot at one entry, for each service. */
  queueLength: COUNT,
  /** Share of recent requests of a service that may be retried. */
  retryBudgetShare: SHARE,
  /** Requests that one upstream process runs at once. */
  slots: COUNT.max(1024),
  /** Connections that one upstream process accepts. */
  connections: COUNT.max(65_536),
  /** Largest share of a service's upstreams that may be ejected at once for bad health. */
  maxEjectedShare: SHARE,
  /** Time during which a leaving upstream may still get new work, in milliseconds. */
  leaveGraceMs: MILLISECONDS.max(10_000),
  /** Weight of a team in fair sharing. */
  weight: z.number().positive().max(1000),
  /** Requests per second that a team may have served, over all entries. */
  quotaPerSecond: z.number().positive(),
  /** Cores that a team's tasks may hold at once. */
  quotaCores: z.number().positive(),
  /** Largest share of a pool that may be unavailable at once, planned and unplanned together. */
  maxUnavailableShare: SHARE,
  /** Days within which every instance must be maintained once. */
  maintenanceIntervalDays: z.number().positive().max(365),
  /** While true, no new maintenance permits are granted. */
  maintenanceFrozen: z.boolean(),
  /**
   * Hours of the day in UTC within which permits may be granted: from (inclusive), to (exclusive);
   * [20, 4] lasts past midnight.
   */
  maintenanceHours: z.tuple([z.number().int().min(0).max(23), z.number().int().min(1).max(24)]),
  /** Longest drain before the permit is released. */
  drainLimitMs: MILLISECONDS,
  /** Longest reboot before an instance counts as failed. */
  rebootLimitMs: MILLISECONDS,
  /** Instances of a wave that must return to service before the others are stopped. */
  canaries: z.number().int().min(0),
  /**
   * Weight, in the planner's objective, of an instance-hour of work that is not lost by running in
   * another pool.
   */
  keptWorkWeight: z.number().min(0),
  /** Weight of an instance-hour of idle capacity in the planner's objective. */
  bufferWeight: z.number().min(0),
  /** Weight of one move of an instance in the planner's objective. */
  moveWeight: z.number().min(0),
  /** Share of a pool's cores that is kept free for urgent tasks. */
  urgentReserveShare: SHARE,
  /** Duration of a task's lease, in milliseconds. */
  taskLeaseMs: MILLISECONDS,
} as const;

/** The complete set of values, as the defaults must set them. */
export const valuesSchema = z.strictObject(valuesShape);

/** Any subset of the values, as an exception sets them. */
export const partialValuesSchema = valuesSchema.partial();

/** The complete set of values in effect for some subject. */
export type Values = Readonly<z.infer<typeof valuesSchema>>;

/** The name of one value. */
export type ValueName = keyof Values;

const scopeSchema = z.strictObject({
  dataCentre: NAME.optional(),
  pool: NAME.optional(),
  service: NAME.optional(),
  team: NAME.optional(),
  attributes: z.record(NAME, z.string()).optional(),
});

/**
 * What an exception applies to: every part that is given must match, and every given attribute must
 * have the given value. At least one part is given.
 */
export type Scope = Readonly<z.infer<typeof scopeSchema>>;

const exceptionSchema = z.strictObject({
  scope: scopeSchema.refine(
    (scope) => Object.keys(scope).length > 0,
    'name at least one of dataCentre, pool, service, team, attributes',
  ),
  set: partialValuesSchema.refine((set) => Object.keys(set).length > 0, 'set at least one value'),
  author: z.string().trim().min(1, 'write who is responsible for this exception'),
  reason: z.string().trim().min(1, 'write why this exception is needed'),
  /** Last day on which the exception is in force, in UTC, as YYYY-MM-DD. */
  until: z.iso.date().optional(),
});

/** An exception to the defaults: the values it sets for a scope, who is responsible, and why. */
export type Exception = Readonly<z.infer<typeof exceptionSchema>>;

/** The whole configuration document. */
export const configSchema = z.strictObject({
  dataCentres: z.array(z.strictObject({ name: NAME, region: NAME })).min(1),
  pools: z.array(z.strictObject({ name: NAME, spare: z.boolean().optional() })).min(1),
  services: z.array(z.strictObject({ name: NAME, pool: NAME, urgency: z.enum(URGENCIES) })).min(1),
  teams: z.array(z.strictObject({ name: NAME })).min(1),
  defaults: valuesSchema,
  exceptions: z.array(exceptionSchema).default([]),
});

/** A configuration that the schema accepts; `checkConfig` lists the faults it may still have. */
export type Config = z.infer<typeof configSchema>;

/** A service in the configuration, with the pool that runs it and the urgency of its requests. */
export type Service = Config['services'][number];
