/** Tasks that are spread over workers that stop to answer and run on, counted at the workers. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { runSpreadSeries, type SpreadSeries } from './spread-series.js';

const SEEDS = [1, 2, 3] as const;

/** Runs a series with each seed; no worker may have more tasks of a step than allowed, and all jobs end. */
const checkSeries = async (series: Omit<SpreadSeries, 'seed'>): Promise<void> => {
  const faults: string[] = [];
  for (const seed of SEEDS) {
    const { violations, open } = await runSpreadSeries({ ...series, seed });
    open.forEach((id) => faults.push(`seed ${seed}: ${id} has not ended`));
    violations.forEach((violation) => faults.push(`seed ${seed}: ${violation}`));
  }
  assert.equal(faults, []);
};

const test = suite('spread at workers');

// Guards against a run that goes on while its task is done by a run that ended elsewhere.
test('no worker gets a task of a step beyond its spread while workers do not answer', () =>
  checkSeries({ fault: 'none', faultIntervalMs: 0 }));

test('no worker gets a task of a step beyond its spread while owners are stopped', () =>
  checkSeries({ fault: 'stop', faultIntervalMs: 2_500 }));

test('no worker gets a task of a step beyond its spread while owners are killed', () =>
  checkSeries({ fault: 'kill', faultIntervalMs: 4_300 }));

test.run();
