/**
 * Tracks the upstream processes of each service as this entry sees them: their listed state, their
 * own leave signals, their health and the requests in progress. Leaving and ejected upstreams are
 * not offered for new requests while others remain.
 */
import {
  computePenalty,
  createDeparture,
  createHealth,
  foldHealth,
  foldListedState,
  foldDepartureSignal,
  getHealthState,
  isOutOfService,
  isLeaving,
  type Candidate,
  type Departure,
  type EjectionLimits,
  type Health,
  type Instance,
  type RequestOutcome,
  type DepartureSignal,
} from 'vanilladock';

/** Configured limits of the upstreams of a service. */
export interface UpstreamLimits {
  /** Largest share of a service's upstreams that may be ejected at once. */
  readonly maxEjectedShare: number;
  /** Time that an upstream listed as leaving may still serve when no other can, in milliseconds. */
  readonly leaveGraceMs: number;
}

/** What one attempt revealed about its upstream; absent parts were not observed. */
export interface Observation {
  readonly outcome?: RequestOutcome | undefined;
  /** The upstream's own signal whether it stays or leaves. */
  readonly departureSignal?: DepartureSignal | undefined;
}

/** State of one upstream, for operators. */
export interface UpstreamStatus {
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly inFlight: number;
  readonly state: 'healthy' | 'probation' | 'ejected' | 'leaving';
}

/** A candidate with its typical time to the first byte, in milliseconds; 0 when unknown. */
export interface UpstreamCandidate extends Candidate {
  readonly usualMs: number;
}

/** The upstreams of all services. */
export interface UpstreamTable {
  /** Replaces the listed upstreams; those with the same address and service keep their state. */
  readonly setInstances: (instances: readonly Instance[]) => void;
  readonly setLimits: (service: string, limits: UpstreamLimits) => void;
  /** Lists the upstreams of a service that may receive new requests now. */
  readonly listCandidates: (service: string) => readonly UpstreamCandidate[];
  readonly listStatus: () => readonly UpstreamStatus[];
  /**
   * Counts the requests of this entry that may run at an upstream: those in progress, and at least
   * one until the entry knows that the upstream takes no new work.
   */
  readonly countInFlight: (upstreamId: string) => number;
  /** Counts a request that starts at an upstream. */
  readonly observeStart: (upstreamId: string) => void;
  /** Counts the end of a request and applies what it revealed about its upstream. */
  readonly observeEnd: (upstreamId: string, observation?: Observation) => void;
}

interface Upstream extends UpstreamCandidate {
  inFlight: number;
  penalty: number;
  usualMs: number;
  health: Health;
  departure: Departure;
  readonly service: string;
}

const PENALTY_REFRESH_INTERVAL_MS = 50;
const NO_EJECTIONS: EjectionLimits = { total: 0, ejected: 0, maxShare: 0 };
const DEFAULT_LIMITS: UpstreamLimits = { maxEjectedShare: 0.5, leaveGraceMs: 2_000 };

/** Computes the median of the known latencies, in milliseconds. */
function computeMedianLatency(upstreams: readonly Upstream[]): number {
  const known = upstreams
    .filter(({ health }) => health.samples > 0)
    .map(({ health }) => health.latencyMs)
    .sort((a, b) => a - b);
  return known[Math.floor(known.length / 2)] ?? 0;
}

/**
 * Selects the upstreams that may receive new requests: those that stay and are healthy or due for a
 * probe request; if there are none, all that stay; if none stay, the leaving ones that are not yet
 * gone.
 */
function selectEligible(
  upstreams: readonly Upstream[],
  limits: UpstreamLimits,
  nowMs: number,
): readonly Upstream[] {
  const staying = upstreams.filter(({ departure }) => !isLeaving(departure, nowMs));
  if (staying.length === 0) {
    return upstreams.filter(
      ({ departure }) => !isOutOfService(departure, limits.leaveGraceMs, nowMs),
    );
  }
  const usable = staying.filter(({ health, inFlight }) => {
    const state = getHealthState(health, nowMs);
    return state === 'healthy' || (state === 'probation' && inFlight === 0);
  });
  return usable.length === 0 ? staying : usable;
}

/** Returns the state of an upstream as operators see it. */
function getUpstreamState({ departure, health }: Upstream, nowMs: number): UpstreamStatus['state'] {
  return isLeaving(departure, nowMs) ? 'leaving' : getHealthState(health, nowMs);
}

/** Creates an empty table. */
export function createUpstreamTable(): UpstreamTable {
  const byId = new Map<string, Upstream>();
  const byService = new Map<string, Upstream[]>();
  const limitsByService = new Map<string, UpstreamLimits>();
  const penaltiesUpdatedAtMs = new Map<string, number>();

  const getLimits = (service: string) => limitsByService.get(service) ?? DEFAULT_LIMITS;
  const updateUpstream = ({ id, address, service = '', state }: Instance, nowMs: number) => {
    const known = byId.get(id);
    const isSame = known?.address === address && known.service === service;
    const upstream: Upstream = isSame
      ? known
      : {
          id,
          address,
          service,
          inFlight: 0,
          penalty: 1,
          usualMs: 0,
          health: createHealth(),
          departure: createDeparture(),
        };
    upstream.departure = foldListedState(upstream.departure, state, nowMs);
    byId.set(id, upstream);
    return upstream;
  };
  const updatePenalties = (service: string, nowMs: number) => {
    penaltiesUpdatedAtMs.set(service, nowMs);
    const siblings = byService.get(service) ?? [];
    const medianMs = computeMedianLatency(siblings);
    siblings.forEach((upstream) => {
      upstream.penalty = computePenalty(upstream.health, medianMs, nowMs);
    });
  };
  const countEjections = (service: string, nowMs: number): EjectionLimits => {
    const siblings = byService.get(service) ?? [];
    const ejected = siblings.filter(({ health }) => getHealthState(health, nowMs) === 'ejected');
    const { maxEjectedShare } = getLimits(service);
    return { total: siblings.length, ejected: ejected.length, maxShare: maxEjectedShare };
  };
  const observeOutcome = (upstream: Upstream, outcome: RequestOutcome, nowMs: number) => {
    const { service } = upstream;
    const isFailure = outcome.kind === 'failed';
    const ejections = isFailure ? countEjections(service, nowMs) : NO_EJECTIONS;
    upstream.health = foldHealth(upstream.health, outcome, ejections, nowMs);
    upstream.usualMs = upstream.health.latencyMs;
    const ageMs = nowMs - (penaltiesUpdatedAtMs.get(service) ?? -Infinity);
    if (isFailure || ageMs >= PENALTY_REFRESH_INTERVAL_MS) updatePenalties(service, nowMs);
  };

  return {
    setInstances: (instances) => {
      const nowMs = performance.now();
      const listed = instances
        .filter(({ role }) => role === 'upstream')
        .map((instance) => updateUpstream(instance, nowMs));
      const ids = new Set(listed.map(({ id }) => id));
      [...byId.keys()].filter((id) => !ids.has(id)).forEach((id) => byId.delete(id));
      byService.clear();
      listed.forEach((upstream) => {
        const siblings = byService.get(upstream.service) ?? [];
        siblings.push(upstream);
        byService.set(upstream.service, siblings);
      });
    },
    setLimits: (service, limits) => void limitsByService.set(service, limits),
    listCandidates: (service) =>
      selectEligible(byService.get(service) ?? [], getLimits(service), performance.now()),
    listStatus: () => {
      const nowMs = performance.now();
      return [...byId.values()].map((upstream) => ({
        id: upstream.id,
        service: upstream.service,
        address: upstream.address,
        inFlight: upstream.inFlight,
        state: getUpstreamState(upstream, nowMs),
      }));
    },
    countInFlight: (id) => {
      const upstream = byId.get(id);
      if (upstream === undefined) return 0;
      const isAcceptingWork = getUpstreamState(upstream, performance.now()) !== 'leaving';
      return isAcceptingWork ? Math.max(1, upstream.inFlight) : upstream.inFlight;
    },
    observeStart: (id) => {
      const upstream = byId.get(id);
      if (upstream !== undefined) upstream.inFlight += 1;
    },
    observeEnd: (id, observation = {}) => {
      const upstream = byId.get(id);
      if (upstream === undefined) return;
      const nowMs = performance.now();
      upstream.inFlight = Math.max(0, upstream.inFlight - 1);
      const { departureSignal, outcome } = observation;
      if (departureSignal !== undefined)
        upstream.departure = foldDepartureSignal(upstream.departure, departureSignal, nowMs);
      if (outcome !== undefined) observeOutcome(upstream, outcome, nowMs);
    },
  };
}
