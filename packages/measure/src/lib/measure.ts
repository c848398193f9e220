/** The interface of all measurements, by which one command lists, runs, checks and reports them. */
import type { Histogram } from 'hdr-histogram-js';

/** Options of a run. */
export interface MeasureOptions {
  readonly seed: number;
  /** Writes a line of progress to standard error. */
  readonly log: (line: string) => void;
  /** Adds a curve of latency quantiles, in milliseconds, to the report. */
  readonly addCurve?: (name: string, histogram: Histogram) => void;
}

/** Measured figures by name. */
export type Figures = Readonly<Record<string, number>>;

/** One measurement. */
export interface Measure {
  readonly name: string;
  /** One line for the list of measurements and the report. */
  readonly describe: string;
  readonly run: (options: MeasureOptions) => Promise<Figures>;
}
