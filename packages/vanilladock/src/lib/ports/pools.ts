/**
 * Port to the platform's pool operations on instances; each is idempotent by its permit id. A drained
 * instance is listed as leaving, and as live again once it is back from its reboot. After a permit's
 * restore the platform refuses its other operations.
 */
import type { Result } from 'ts-results-es';

/** `unknown`: no answer, the operation may have taken effect. */
export interface PoolError {
  readonly kind: 'unknown' | 'refused';
  readonly message: string;
}

/** The platform's drain and reboot operations. */
export interface Pools {
  readonly drain: (instanceId: string, permitId: string) => Promise<Result<void, PoolError>>;
  readonly reboot: (instanceId: string, permitId: string) => Promise<Result<void, PoolError>>;
  readonly restore: (instanceId: string, permitId: string) => Promise<Result<void, PoolError>>;
}
