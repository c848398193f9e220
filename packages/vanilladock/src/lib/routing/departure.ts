/**
 * Departure of one upstream, as signalled by whichever comes first: the platform's instance list, a
 * refusal that states `leaving`, or several connections in a row that the upstream closes. The
 * instance list lags behind, so a signal from the upstream itself is valid for a while, after which
 * the upstream is tried again.
 */
import type { InstanceState } from '../topology.js';

/**
 * What an answer tells about the upstream: it refused because it is `leaving`, it is `closing` its
 * connection, or it is `staying` and keeps the connection open.
 */
export type DepartureSignal = 'leaving' | 'closing' | 'staying';

/** Departure state of an upstream; times are on the monotonic clock, in milliseconds. */
export interface Departure {
  /** State in the instance list. */
  readonly listed: InstanceState;
  /** When the list first showed the upstream as leaving; Infinity while it is live. */
  readonly listedLeavingSinceMs: number;
  /** Number of consecutive answers that closed their connection. */
  readonly consecutiveCloses: number;
  /**
   * Whether the upstream has kept a connection open since it was listed as live; without that,
   * closed connections are its habit and no signal.
   */
  readonly hasKeptConnection: boolean;
  /** Number of `leaving` signals since the last `staying`, without those during a valid signal. */
  readonly consecutiveSignals: number;
  /** The upstream's own signal is valid until this time; 0 without one. */
  readonly signalUntilMs: number;
}

/** Validity of the first `leaving` signal; it doubles with each consecutive one. */
const LEAVING_SIGNAL_MS = 5_000;
const MAX_LEAVING_SIGNAL_MS = 60_000;
/** Validity of the signal that consecutive closed connections give. */
const CLOSING_SIGNAL_MS = 2_000;
/** Consecutive closed connections that count as a signal. */
const MIN_CONSECUTIVE_CLOSES = 2;

/** Creates the departure of an upstream that is listed as live. */
export function createDeparture(): Departure {
  return {
    listed: 'live',
    listedLeavingSinceMs: Infinity,
    consecutiveCloses: 0,
    hasKeptConnection: false,
    consecutiveSignals: 0,
    signalUntilMs: 0,
  };
}

/** Folds the state in the instance list; a return to `live` clears earlier signals. */
export function foldListedState(
  departure: Departure,
  listed: InstanceState,
  nowMs: number,
): Departure {
  if (listed === departure.listed) return departure;
  if (listed === 'live') return createDeparture();
  return { ...departure, listed, listedLeavingSinceMs: nowMs };
}

/**
 * Folds the signal of an answer. `staying` ends the counts of consecutive signals but not a signal
 * that is still valid; `leaving` during a valid signal changes nothing.
 */
export function foldDepartureSignal(
  departure: Departure,
  signal: DepartureSignal,
  nowMs: number,
): Departure {
  switch (signal) {
    case 'leaving': {
      if (departure.signalUntilMs > nowMs) return departure;
      const validMs = Math.min(
        LEAVING_SIGNAL_MS * 2 ** departure.consecutiveSignals,
        MAX_LEAVING_SIGNAL_MS,
      );
      return {
        ...departure,
        consecutiveSignals: departure.consecutiveSignals + 1,
        signalUntilMs: nowMs + validMs,
      };
    }
    case 'closing': {
      const consecutiveCloses = departure.consecutiveCloses + 1;
      const isSignal = departure.hasKeptConnection && consecutiveCloses >= MIN_CONSECUTIVE_CLOSES;
      const untilMs = isSignal ? nowMs + CLOSING_SIGNAL_MS : 0;
      return {
        ...departure,
        consecutiveCloses,
        signalUntilMs: Math.max(departure.signalUntilMs, untilMs),
      };
    }
    case 'staying':
      if (
        departure.hasKeptConnection &&
        departure.consecutiveCloses === 0 &&
        departure.consecutiveSignals === 0
      ) {
        return departure;
      }
      return { ...departure, hasKeptConnection: true, consecutiveCloses: 0, consecutiveSignals: 0 };
    default:
      return signal satisfies never;
  }
}

/**
 * Says whether an upstream is leaving, by the instance list or by its own valid signal, and so is
 * used only when no other is available.
 */
export function isLeaving(departure: Departure, nowMs: number): boolean {
  return departure.listed === 'leaving' || departure.signalUntilMs > nowMs;
}

/**
 * Says whether a leaving upstream must not get new work even when no other is available: while its
 * own signal is valid, or once the instance list has shown it as leaving for the grace period.
 */
export function isOutOfService(departure: Departure, graceMs: number, nowMs: number): boolean {
  return departure.signalUntilMs > nowMs || nowMs - departure.listedLeavingSinceMs >= graceMs;
}
