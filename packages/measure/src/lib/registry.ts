/** All measurements, in the order in which they are listed. */
import { CONFIG_MEASURE } from './config.js';
import type { Measure } from './measure.js';

/** The measurements. */
export const MEASURES: readonly Measure[] = [CONFIG_MEASURE];
