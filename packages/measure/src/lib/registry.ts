/** All measurements, in the order in which they are listed. */
import type { Measure } from './measure.js';

/** The measurements. */
export const MEASURES: readonly Measure[] = [];
