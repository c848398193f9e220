/**
 * Age of the configuration: how long ago it was known to be the newest. A read that finds nothing
 * newer confirms it for the moment at which the read was sent; when its answer arrived would be too
 * late, as a version may have been written in between.
 */
import { computeElapsedMs, type ClockPair } from '../clock-pair.js';

/** Freshness of the configuration that an instance has. */
export interface ConfigFreshness {
  /** Records that a read sent at this moment has found nothing newer. */
  readonly observeRead: (sent: ClockPair) => void;
  /**
   * Records whether the newest configuration can be decoded. While it cannot, reads confirm nothing,
   * as the configuration in force is known not to be the newest.
   */
  readonly observeNewest: (isReadable: boolean) => void;
  /** Computes the age in milliseconds; infinite before the first confirmation. */
  readonly getAgeMs: (current: ClockPair) => number;
}

/** Creates the freshness of a configuration that has not been read. */
export function createConfigFreshness(): ConfigFreshness {
  let confirmed: ClockPair | undefined;
  let isReadable = true;
  return {
    observeRead: (sent) => {
      if (isReadable) confirmed = sent;
    },
    observeNewest: (isNewestReadable) => {
      isReadable = isNewestReadable;
    },
    getAgeMs: (current) =>
      confirmed === undefined ? Infinity : Math.max(0, computeElapsedMs(confirmed, current)),
  };
}
