/**
 * Folded state of waves. A wave begins with canaries; its other instances follow once those have
 * returned. A wave that loses a canary, or too many of its instances, is stopped permanently with a
 * reason; the planner may retry the same instances in a later wave.
 */

/** Why a wave was stopped. */
export type WaveStop =
  | { readonly kind: 'canary-failed'; readonly instanceId: string }
  | { readonly kind: 'too-many-failed'; readonly failed: number; readonly granted: number };

/** Progress of one wave. */
export interface Wave {
  readonly canariesOpen: number;
  readonly canariesReturned: number;
  /** Permits granted so far, without those that were given back. */
  readonly granted: number;
  readonly returned: number;
  readonly failed: number;
  /** Dates, in milliseconds since 1970, of the first permit and of the newest record. */
  readonly startedAtMs: number;
  readonly changedAtMs: number;
  /** Why the wave was stopped; undefined while it was not. */
  readonly stop: WaveStop | undefined;
}

/**
 * How a permit can end. `returned`: the instance was maintained and is live again. `gave-back`: it
 * ended without maintenance being counted. `failed`: the instance did not return and is now lost.
 */
export type PermitResult = 'returned' | 'gave-back' | 'failed';

/** Least number of failures that stops a wave, besides the failure of a canary. */
const MIN_FAILURES = 2;
/** Least share of a wave's granted permits that must fail to stop it. */
const MIN_FAILED_SHARE = 0.1;

/** Creates a wave without permits. */
export function createWave(atMs: number): Wave {
  return {
    canariesOpen: 0,
    canariesReturned: 0,
    granted: 0,
    returned: 0,
    failed: 0,
    startedAtMs: atMs,
    changedAtMs: atMs,
    stop: undefined,
  };
}

/** Adds a granted permit to a wave. */
export function addPermit(wave: Wave, isCanary: boolean, atMs: number): Wave {
  const canariesOpen = wave.canariesOpen + (isCanary ? 1 : 0);
  return { ...wave, canariesOpen, granted: wave.granted + 1, changedAtMs: atMs };
}

/** Decides whether a failure stops the wave; undefined when it does not. */
function decideStop(wave: Wave, instanceId: string, isCanary: boolean): WaveStop | undefined {
  if (isCanary) return { kind: 'canary-failed', instanceId };
  const { failed, granted } = wave;
  if (failed < Math.max(MIN_FAILURES, granted * MIN_FAILED_SHARE)) return undefined;
  return { kind: 'too-many-failed', failed, granted };
}

/** Ends one permit of a wave; a failure may stop the wave, and a wave stays stopped. */
export function closePermit(
  wave: Wave,
  ended: { readonly instanceId: string; readonly isCanary: boolean },
  result: PermitResult,
  atMs: number,
): Wave {
  const canariesOpen = wave.canariesOpen - (ended.isCanary ? 1 : 0);
  const updated = { ...wave, canariesOpen, changedAtMs: atMs };
  switch (result) {
    case 'returned': {
      const canariesReturned = wave.canariesReturned + (ended.isCanary ? 1 : 0);
      return { ...updated, canariesReturned, returned: wave.returned + 1 };
    }
    case 'gave-back':
      return { ...updated, granted: wave.granted - 1 };
    case 'failed': {
      const withFailure = { ...updated, failed: wave.failed + 1 };
      const stop = wave.stop ?? decideStop(withFailure, ended.instanceId, ended.isCanary);
      return { ...withFailure, stop };
    }
    default:
      return result satisfies never;
  }
}
