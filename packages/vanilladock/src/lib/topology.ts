/**
 * Instances and where they stand. Failure domains nest: region, data centre, rack.
 */

/** The failure domains of an instance, outermost first. */
export interface Location {
  readonly region: string;
  readonly dataCentre: string;
  readonly rack: string;
}

/** `live`: may take work. `leaving`: takes no new work. */
export type InstanceState = 'live' | 'leaving';

/** What an instance is for: one of our own entries, a process of a service, or a worker. */
export type InstanceRole = 'entry' | 'upstream' | 'worker';

/** One instance as the platform's instance list shows it. */
export interface Instance {
  readonly id: string;
  readonly role: InstanceRole;
  /** `ip:port` where the instance answers; of an entry, where it answers its peers. */
  readonly address: string;
  /** The service that an upstream belongs to; absent for other roles. */
  readonly service?: string;
  readonly location: Location;
  readonly state: InstanceState;
  /** Free attributes, such as `generation: b`, that exceptions may name. */
  readonly attributes: Readonly<Record<string, string>>;
}
