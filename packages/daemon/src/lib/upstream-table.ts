/** The upstream processes of each service as this entry sees them, with its requests in progress. */
import type { Candidate, Instance } from 'vanilladock';

/** A table of upstreams. */
export interface UpstreamTable {
  readonly setInstances: (instances: readonly Instance[]) => void;
  /** Live upstreams of a service. */
  readonly listCandidates: (service: string) => readonly Candidate[];
  readonly observeStart: (upstreamId: string) => void;
  readonly observeEnd: (upstreamId: string) => void;
}

/** Creates an empty table. */
export function createUpstreamTable(): UpstreamTable {
  const inFlight = new Map<string, number>();
  let upstreams: readonly Instance[] = [];
  const add = (id: string, change: number) => inFlight.set(id, (inFlight.get(id) ?? 0) + change);
  return {
    setInstances: (instances) => {
      upstreams = instances.filter(({ role, state }) => role === 'upstream' && state === 'live');
    },
    listCandidates: (service) =>
      upstreams
        .filter((upstream) => upstream.service === service)
        .map(({ id, address }) => ({ id, address, inFlight: inFlight.get(id) ?? 0 })),
    observeStart: (id) => void add(id, 1),
    observeEnd: (id) => void add(id, -1),
  };
}
