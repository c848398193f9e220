/** Decisions about waves, each with its reason and the alternative that was refused. */
import type { WaveStop } from './waves.js';

/** Why an instance is given a permit now. */
export type PermitReason = 'canary' | 'overdue' | 'due';

/** Why a pool gets no further permit now. */
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

/** The instance that was next in line, and why it has to wait. */
export interface RefusedInstance {
  readonly instanceId: string;
  readonly why: HoldReason | 'later-data-centre' | 'due-later' | 'room-for-fewer';
}

/** One decision of the planner of waves; each is one line of the decision log. */
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

/** Renders why a wave stopped itself. */
export function renderStop(stop: WaveStop): string {
  switch (stop.kind) {
    case 'canary-failed':
      return `its canary ${stop.instanceId} did not return`;
    case 'too-many-failed':
      return `${stop.failed} of its ${stop.granted} instances did not return`;
    default:
      return stop satisfies never;
  }
}

/** Renders a decision as one sentence for operators. */
export function renderWaveDecision(decision: WaveDecision): string {
  switch (decision.kind) {
    case 'permit': {
      const { instanceId, pool, wave, reason, refused } = decision;
      const rest = refused === undefined ? '' : `; ${refused.instanceId} waits: ${refused.why}`;
      return `${instanceId} of ${pool} may stop in wave ${wave}: ${reason}${rest}`;
    }
    case 'hold': {
      const { pool, remaining, reason } = decision;
      return `${pool} waits with ${remaining} instances to go: ${reason}`;
    }
    case 'wave-stopped':
      return `wave ${decision.wave} stopped itself: ${renderStop(decision.stop)}`;
    default:
      return decision satisfies never;
  }
}
