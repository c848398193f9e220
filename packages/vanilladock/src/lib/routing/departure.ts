/**
 * Departure of one upstream, told by whichever comes first: the platform's instance list, a refusal
 * that says `leaving`, or connections closed by it one after another. The list lags, so what the
 * upstream itself said holds for a while and is then tried again.
 */
import type { InstanceState } from '../topology.js';

/** What an upstream's answer says about its stay. */
export type StaySignal = 'leaving' | 'closing' | 'staying';

/** What is known of an upstream's stay; times are on the monotonic clock. */
export interface Departure {
  readonly listed: InstanceState;
  /** When the list first showed it as leaving; Infinity while live. */
  readonly listedSinceMs: number;
  /** Answers in a row that closed their connection. */
  readonly closings: number;
  /** Whether the upstream has ever kept a connection open. */
  readonly hasStayed: boolean;
  /** Signals of leaving in a row. */
  readonly signals: number;
  /** Its own signal of leaving holds until this time; 0 without one. */
  readonly signalUntilMs: number;
}

const SIGNAL_MS = 5_000;
const MAX_SIGNAL_MS = 60_000;
const CLOSING_SIGNAL_MS = 2_000;
const CLOSINGS_THAT_SIGNAL = 2;

/** Creates the departure of an upstream that is listed as live. */
export function createDeparture(): Departure {
  return {
    listed: 'live',
    listedSinceMs: Infinity,
    closings: 0,
    hasStayed: false,
    signals: 0,
    signalUntilMs: 0,
  };
}

/** Folds the state that the platform's list shows; a return to live clears earlier signals. */
export function foldListedState(
  departure: Departure,
  listed: InstanceState,
  nowMs: number,
): Departure {
  if (listed === departure.listed) return departure;
  if (listed === 'live') return createDeparture();
  return { ...departure, listed, listedSinceMs: nowMs };
}

/** Folds what an answer of the upstream said about its stay. */
export function foldStaySignal(departure: Departure, signal: StaySignal, nowMs: number): Departure {
  switch (signal) {
    case 'leaving': {
      if (departure.signalUntilMs > nowMs) return departure;
      const lengthMs = Math.min(SIGNAL_MS * 2 ** departure.signals, MAX_SIGNAL_MS);
      return { ...departure, signals: departure.signals + 1, signalUntilMs: nowMs + lengthMs };
    }
    case 'closing': {
      const closings = departure.closings + 1;
      const isSignal = departure.hasStayed && closings >= CLOSINGS_THAT_SIGNAL;
      const untilMs = isSignal ? nowMs + CLOSING_SIGNAL_MS : 0;
      return {
        ...departure,
        closings,
        signalUntilMs: Math.max(departure.signalUntilMs, untilMs),
      };
    }
    case 'staying':
      if (departure.hasStayed && departure.closings === 0 && departure.signals === 0) {
        return departure;
      }
      return { ...departure, hasStayed: true, closings: 0, signals: 0 };
    default:
      return signal satisfies never;
  }
}

/** Says whether an upstream is leaving and is to be passed over while others can be had. */
export function isLeaving(departure: Departure, nowMs: number): boolean {
  return departure.listed === 'leaving' || departure.signalUntilMs > nowMs;
}

/**
 * Says whether a leaving upstream must get no new work even when no other can be had: always after
 * its own signal, and after the grace time when only the list says so.
 */
export function isGone(departure: Departure, graceMs: number, nowMs: number): boolean {
  return departure.signalUntilMs > nowMs || nowMs - departure.listedSinceMs >= graceMs;
}
