/** All measurements, in the order in which they are listed. */
import { EXCHANGE_MEASURE } from './exchange.js';
import { FLOOD_MEASURE } from './flood.js';
import { HERD_MEASURE } from './herd.js';
import type { Measure } from './measure.js';
import { SLOTS_MEASURE } from './slots.js';

/** The measurements. */
export const MEASURES: readonly Measure[] = [
  HERD_MEASURE,
  FLOOD_MEASURE,
  SLOTS_MEASURE,
  EXCHANGE_MEASURE,
];
