/** The form that every measurement has, so that one command can list, run, judge and report them. */
import type { Histogram } from 'hdr-histogram-js';

/** What a measurement is run with. */
export interface MeasureOptions {
  readonly seed: number;
  /** Writes a line of progress to standard error. */
  readonly log: (line: string) => void;
  /** Adds a curve of quantiles, in milliseconds, to the report. */
  readonly addCurve?: (name: string, histogram: Histogram) => void;
}

/** Measured figures by name. */
export type Figures = Readonly<Record<string, number>>;

/** One measurement. */
export interface Measure {
  readonly name: string;
  readonly describe: string;
  readonly run: (options: MeasureOptions) => Promise<Figures>;
}
