/** The bounds on figures of measurements, and the check of figures against them. */
import type { Figures } from './measure.js';

/** A bound on one figure. */
export type Bound =
  | { readonly kind: 'at-least'; readonly value: number }
  | { readonly kind: 'at-most'; readonly value: number };

/** One figure with its bound, if it has one, and whether it meets it. */
export interface Judgement {
  readonly figure: string;
  readonly value: number;
  readonly bound: Bound | undefined;
  readonly isMet: boolean;
}

/** Makes a lower bound, inclusive. */
function makeLower(value: number): Bound {
  return { kind: 'at-least', value };
}

/** Makes an upper bound, inclusive. */
function makeUpper(value: number): Bound {
  return { kind: 'at-most', value };
}

/** Bounds by measurement and figure. */
export const BOUNDS: Readonly<Record<string, Readonly<Record<string, Bound>>>> = {
  overhead: {
    throughput_ratio: makeLower(0.7),
    p50_added_ms: makeUpper(0.3),
    p99_added_ms: makeUpper(2),
  },
  herd: {
    untrue: makeUpper(0),
    duplicates: makeUpper(0),
    goodput_ratio: makeLower(0.95),
    jain: makeLower(0.95),
  },
  flood: { kept_min: makeLower(0.95), p99_ratio: makeUpper(2) },
  faults: {
    cases: makeLower(15),
    requests: makeLower(10_000),
    duplicates: makeUpper(0),
    false_not_run: makeUpper(0),
    wrong_answers: makeUpper(0),
    cut_on_drain: makeUpper(0),
  },
  config: {
    in_force_p99_ms: makeUpper(2_000),
    in_force_max_outage_ms: makeUpper(8_000),
    reverts: makeUpper(0),
    lost: makeUpper(0),
    false_answers: makeUpper(0),
  },
  wave: {
    budget_violations: makeUpper(0),
    pool_overlaps: makeUpper(0),
    maintained: makeLower(1),
    time_ratio: makeUpper(1.2),
  },
  moves: {
    buffer_ratio: makeUpper(0.5),
    moves_ratio: makeUpper(0.2),
    kept: makeLower(0.95),
    jain: makeLower(0.95),
  },
  placement: {
    urgent_start_p99_s: makeUpper(7.8),
    double_runs: makeUpper(0),
    quota_violations: makeUpper(0),
    black_hole_tasks_p99: makeUpper(10),
    unrunnable_attempts_max: makeUpper(3),
  },
  'planner-cost': {
    plan_large_ms: makeUpper(1),
    plan_ratio: makeUpper(3),
  },
  'team-keys': {
    check_share: makeUpper(0.02),
  },
  'team-limits': {
    cpu_fraction: makeUpper(0.021),
    bytes_per_s: makeUpper(3_000),
  },
  control: {
    cpu_fraction: makeUpper(0.021),
    added_mb: makeUpper(32),
    bytes_per_s: makeUpper(3_000),
  },
};

/** Says whether a value meets a bound; NaN never does. */
function isWithin(value: number, bound: Bound): boolean {
  switch (bound.kind) {
    case 'at-least':
      return value >= bound.value;
    case 'at-most':
      return value <= bound.value;
    default:
      return bound satisfies never;
  }
}

/** Finds the bound of a figure; a figure such as `kept_smokehouse` has the bound of `kept`. */
function findBound(measure: string, figure: string): Bound | undefined {
  const bounds = BOUNDS[measure] ?? {};
  const prefix = Object.keys(bounds).find((name) => figure.startsWith(`${name}_`));
  return bounds[figure] ?? (prefix === undefined ? undefined : bounds[prefix]);
}

/** Checks every figure of a measurement; a missing figure that has a bound counts as not met. */
export function checkFigures(measure: string, figures: Figures): readonly Judgement[] {
  const judged = Object.entries(figures).map(([figure, value]) => {
    const bound = findBound(measure, figure);
    return { figure, value, bound, isMet: bound === undefined || isWithin(value, bound) };
  });
  const missing = Object.entries(BOUNDS[measure] ?? {})
    .filter(([name]) => !Object.keys(figures).some((figure) => figure.startsWith(name)))
    .map(([figure, bound]) => ({ figure, value: NaN, bound, isMet: false }));
  return [...judged, ...missing];
}

/** Formats a bound, such as `≤ 2`; empty without a bound. */
export function formatBound(bound: Bound | undefined): string {
  if (bound === undefined) return '';
  return bound.kind === 'at-least' ? `≥ ${bound.value}` : `≤ ${bound.value}`;
}
