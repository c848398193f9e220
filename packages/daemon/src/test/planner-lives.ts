/**
 * Lists the lives of the planners of a simulation from their log, their stored metadata and the
 * renewals that workers answered, with what each was still waiting for when it ended.
 */
import { SUCCESSION_MS } from 'vanilladock/lib/duties/authority.js';
import type { KeyedRecord } from 'vanilladock/lib/ports/keyed-store.js';
import type { LogFields } from '../lib/json-log.js';

/** One planner of a pool. Times are monotonic, in milliseconds; undefined for what has not come. */
export interface PlannerLife {
  readonly pool: string;
  readonly token: number;
  readonly instance: string;
  readonly claimedMs: number;
  takenMs: number | undefined;
  /** Whether the planner before it had stored that it was settled. */
  isPreviousSettled: boolean;
  /** When it was answered whether the planner before it has stopped. */
  askedMs: number | undefined;
  hasPredecessorStopped: boolean;
  /** When it had stored that it was settled. */
  settledMs: number | undefined;
  endedMs: number | undefined;
  inheritedIds: readonly string[];
  /** When the newest answered renewal was sent, by worker. */
  readonly renewalsMs: Map<string, number>;
}

/** Metadata of a pool, as far as they are read here. */
interface Meta {
  readonly generation: number;
  readonly isSettled?: boolean;
  readonly workers: readonly { readonly id: string }[];
}

const META_SUFFIX = ':meta';

/** Says until when a planner takes orders of earlier ones as possible. */
function computePredecessorUntilMs(life: PlannerLife): number {
  const { claimedMs, takenMs = Infinity, askedMs = Infinity } = life;
  const isProved = life.hasPredecessorStopped && life.isPreviousSettled;
  // What is sent in the millisecond of the load is sent before the proof is taken in.
  const provedMs = isProved ? Math.floor(Math.max(takenMs, askedMs)) + 1 : Infinity;
  return Math.min(claimedMs + SUCCESSION_MS, provedMs);
}

/** Says what a planner was waiting for at a time. */
export function explainWait(life: PlannerLife, atMs: number): string {
  const untilMs = computePredecessorUntilMs(life);
  if (life.settledMs !== undefined) return '';
  if (life.takenMs === undefined) return 'not loaded';
  if (atMs < untilMs) {
    return `predecessor may order for ${Math.round(untilMs - atMs)} ms more`;
  }
  const unreported = life.inheritedIds.filter(
    (id) => (life.renewalsMs.get(id) ?? -Infinity) < untilMs,
  );
  return unreported.length === 0 ? 'not stored' : `unreported: ${unreported.join(' ')}`;
}

const formatMs = (ms: number | undefined) => (ms === undefined ? '-' : `${Math.round(ms)}`);

/** Formats a life as a line of a table, with what it waited for at its end. */
export function formatLife(life: PlannerLife, endMs: number): string {
  const cells = [
    life.instance,
    `${life.token}`,
    formatMs(life.claimedMs),
    formatMs(life.takenMs),
    life.isPreviousSettled ? 'yes' : 'no',
    life.hasPredecessorStopped ? formatMs(life.askedMs) : 'unproved',
    formatMs(computePredecessorUntilMs(life)),
    formatMs(life.settledMs),
    formatMs(life.endedMs),
    explainWait(life, life.endedMs ?? endMs),
  ];
  return `| ${cells.join(' | ')} |`;
}

export const LIFE_HEADER =
  '| instance | token | claimed | taken | previous settled | predecessor stopped, known at |' +
  ' orders possible until | settled | ended | waits at the end for |';

/** Creates an empty list of lives. */
export function createPlannerLives() {
  const lives = new Map<string, PlannerLife>();
  const metas = new Map<string, Meta>();
  const find = (pool: unknown, token: unknown) => lives.get(`${String(pool)} ${String(token)}`);
  const readPool = (duty: unknown) => String(duty).replace(/^pool\//, '');
  const addLife = (pool: string, token: number, instance: string) =>
    lives.set(`${pool} ${token}`, {
      pool,
      token,
      instance,
      claimedMs: performance.now(),
      takenMs: undefined,
      isPreviousSettled: metas.get(pool)?.isSettled !== false,
      askedMs: undefined,
      hasPredecessorStopped: false,
      settledMs: undefined,
      endedMs: undefined,
      inheritedIds: [],
      renewalsMs: new Map(),
    });
  const findNewest = (pool: string) =>
    [...lives.values()].filter((life) => life.pool === pool && life.takenMs !== undefined).at(-1);
  const observeMeta = (pool: string, meta: Meta) => {
    const previous = metas.get(pool);
    metas.set(pool, meta);
    if (previous?.generation === meta.generation) {
      const life = findNewest(pool);
      if (meta.isSettled === true && life !== undefined) life.settledMs ??= performance.now();
      return;
    }
    const loading = [...lives.values()].filter((life) => life.pool === pool).at(-1);
    if (loading === undefined) return;
    loading.isPreviousSettled = previous?.isSettled !== false;
    loading.inheritedIds = (previous?.workers ?? []).map(({ id }) => id);
  };
  return {
    list: (): readonly PlannerLife[] => [...lives.values()],
    observeLog: (instance: string, fields: LogFields) => {
      const { event, pool, duty, token } = fields as LogFields & Readonly<Record<string, unknown>>;
      if (event === 'duty-held' && String(duty).startsWith('pool/')) {
        addLife(readPool(duty), Number(token), instance);
      }
      const life = find(pool ?? readPool(duty), token);
      if (life === undefined) return;
      if (event === 'pool-taken') life.takenMs = performance.now();
      if (event === 'pool-released') life.endedMs = performance.now();
      if (event === 'predecessor-asked') {
        life.askedMs = performance.now();
        life.hasPredecessorStopped = 'hasStopped' in fields && fields.hasStopped === true;
      }
    },
    observeStored: (records: readonly KeyedRecord[]) =>
      records.forEach(({ key, value }) => {
        if (!key.endsWith(META_SUFFIX) || value === undefined) return;
        observeMeta(key.slice(0, -META_SUFFIX.length), JSON.parse(value) as Meta);
      }),
    observeRenewal: (workerId: string, token: number, sentMs: number) => {
      const pool = workerId.slice(0, workerId.lastIndexOf('-'));
      const renewals = find(pool, token)?.renewalsMs;
      renewals?.set(workerId, Math.max(sentMs, renewals.get(workerId) ?? -Infinity));
    },
    /** Records that a process is gone, whose planners say nothing of their end. */
    observeExit: (instance: string) =>
      lives.forEach((life) => {
        if (life.instance === instance)
          Object.assign(life, { endedMs: life.endedMs ?? performance.now() });
      }),
  };
}
