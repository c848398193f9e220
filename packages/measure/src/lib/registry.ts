/** All measurements, in the order in which they are listed. */
import { CONTROL_MEASURE } from './control.js';
import type { Measure } from './measure.js';

/** The measurements. */
export const MEASURES: readonly Measure[] = [CONTROL_MEASURE];
