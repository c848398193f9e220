/** Port to the platform's list of live and leaving instances, which lags by tens of seconds. */
import type { Result } from 'ts-results-es';
import type { Instance } from '../topology.js';

/** A failure to read the list; the last known list stays in use. */
export interface InstanceListError {
  readonly message: string;
}

/** The platform's instance list. */
export interface InstanceList {
  readonly fetch: () => Promise<Result<readonly Instance[], InstanceListError>>;
}
