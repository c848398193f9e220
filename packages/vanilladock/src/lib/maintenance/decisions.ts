/** Decisions about waves, each with its reason and the next candidate that was not chosen. */
import type { WaveStop } from './waves.js';

/** Why an instance gets a permit now. */
export type PermitReason = 'canary' | 'overdue' | 'due';

/**
 * Why a pool gets no further permit now. `recent-loss`: the pool lost an instance a short time ago.
 * `fleet-loss`: too much of the fleet is lost. `canary-pending`: the wave's canaries have not all
 * returned. `nothing-live`: every due instance is lost, has a permit or is not listed as live.
 */
export type HoldReason =
  | 'frozen'
  | 'outside-hours'
  | 'single-instance'
  | 'recent-loss'
  | 'fleet-loss'
  | 'budget-spent'
  | 'canary-pending'
  | 'wave-stopped'
  | 'nothing-live';

/** The next candidate after the chosen one, and why it has to wait. */
export interface RefusedInstance {
  readonly instanceId: string;
  readonly why: HoldReason | 'later-data-centre' | 'due-later' | 'room-for-fewer';
}

/** A decision of the wave planner; each is one line of the decision log. */
export type WaveDecision =
  | {
      readonly kind: 'permit';
      readonly instanceId: string;
      readonly pool: string;
      readonly wave: string;
      readonly isCanary: boolean;
      readonly reason: PermitReason;
      readonly refused: RefusedInstance | undefined;
    }
  | {
      readonly kind: 'hold';
      readonly pool: string;
      /** Number of due instances, including those that are lost or unavailable. */
      readonly remaining: number;
      readonly reason: HoldReason;
      readonly refused: RefusedInstance | undefined;
    }
  | {
      readonly kind: 'wave-stopped';
      readonly wave: string;
      readonly stop: WaveStop;
      /** Date, in milliseconds since 1970, of the next wave over the same data centre. */
      readonly retryAtMs: number;
    };

/** Renders why a wave was stopped. */
export function renderStop(stop: WaveStop): string {
  switch (stop.kind) {
    case 'canary-failed':
      return `canary ${stop.instanceId} did not return`;
    case 'too-many-failed':
      return `${stop.failed} of ${stop.granted} instances did not return`;
    default:
      return stop satisfies never;
  }
}

/** Renders a decision as one line for operators. */
export function renderWaveDecision(decision: WaveDecision): string {
  switch (decision.kind) {
    case 'permit': {
      const { instanceId, pool, wave, reason, refused } = decision;
      const rest = refused === undefined ? '' : `; ${refused.instanceId} waits: ${refused.why}`;
      return `${instanceId} of ${pool} may stop in wave ${wave}: ${reason}${rest}`;
    }
    case 'hold': {
      const { pool, remaining, reason } = decision;
      return `${pool} is on hold with ${remaining} instances remaining: ${reason}`;
    }
    case 'wave-stopped':
      return `wave ${decision.wave} stopped: ${renderStop(decision.stop)}`;
    default:
      return decision satisfies never;
  }
}
