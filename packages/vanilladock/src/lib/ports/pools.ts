/**
 * Port to the platform's maintenance operations on instances; each is idempotent by its permit id.
 * A drained instance is listed as leaving, and as live again after its reboot. After the restore of
 * a permit the platform refuses the permit's other operations.
 */
import type { Result } from 'ts-results-es';

/** `unknown`: no response, the operation may have taken effect. */
export interface PoolError {
  readonly kind: 'unknown' | 'refused';
  readonly message: string;
}

/** The platform's drain, reboot and restore operations. */
export interface Pools {
  readonly drain: (instanceId: string, permitId: string) => Promise<Result<void, PoolError>>;
  readonly reboot: (instanceId: string, permitId: string) => Promise<Result<void, PoolError>>;
  readonly restore: (instanceId: string, permitId: string) => Promise<Result<void, PoolError>>;
}
