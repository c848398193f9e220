/**
 * Instances and their locations in nested failure domains: region, data centre and rack.
 */

/** The failure domains of an instance, outermost first. */
export interface Location {
  readonly region: string;
  readonly dataCentre: string;
  readonly rack: string;
}

/** State of an instance: `live` may get work, `leaving` gets no new work. */
export type InstanceState = 'live' | 'leaving';

/** Role of an instance: an entry of this system, an upstream process of a service, or a worker. */
export type InstanceRole = 'entry' | 'upstream' | 'worker';

/** An instance in the platform's instance list. */
export interface Instance {
  readonly id: string;
  readonly role: InstanceRole;
  /**
   * Address `ip:port` on which the instance listens; an entry's address is the one for its peers.
   */
  readonly address: string;
  /** The service that an upstream belongs to; absent for other roles. */
  readonly service?: string;
  readonly location: Location;
  readonly state: InstanceState;
  /** Arbitrary attributes, such as `generation: b`, that configuration exceptions can refer to. */
  readonly attributes: Readonly<Record<string, string>>;
}
