/** The status of an entry, as it is shown to operators. */
import type { RefusalCount } from '../metrics.js';

/** The state of one peer as this entry sees it. */
export interface PeerStatus {
  readonly id: string;
  readonly isLive: boolean;
  /** Log offset of the last record that the peer reported as applied; -1 while it is not live. */
  readonly appliedOffset: number;
}

/** The state of one upstream as this entry sees it. */
export interface UpstreamStatus {
  readonly id: string;
  readonly service: string;
  /** `healthy`, `probation`, `ejected` or `leaving`. */
  readonly state: string;
  /** Requests of this entry in progress at the upstream. */
  readonly inFlight: number;
}

/** The status of one entry. */
export interface EntryStatus {
  readonly id: string;
  readonly dataCentre: string;
  readonly isReady: boolean;
  readonly isDraining: boolean;
  readonly uptimeMs: number;
  /** Offset of the publication in force; -1 before the first. */
  readonly configVersion: number;
  readonly configAuthor: string;
  /** Log offset of the last record that this entry has applied. */
  readonly appliedOffset: number;
  readonly answers: number;
  readonly peers: readonly PeerStatus[];
  readonly upstreams: readonly UpstreamStatus[];
  /** Ids of instances that take no new work. */
  readonly leaving: readonly string[];
  readonly refusals: readonly RefusalCount[];
}
