/** All measurements, in the order in which they are listed. */
import { FAULTS_MEASURE } from './faults.js';
import type { Measure } from './measure.js';

/** The measurements. */
export const MEASURES: readonly Measure[] = [FAULTS_MEASURE];
