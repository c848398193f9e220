/** Workers that fall silent for longer than their runs need, and crash before they answer again. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { runCrashSeries, type CrashSeries } from './crash-series.js';

const SEEDS = [1, 2, 3] as const;

/** No owner is stopped, and no job is deadly. */
const SERIES: Omit<CrashSeries, 'seed'> = {
  fault: 'none',
  who: 'owner',
  faultIntervalMs: 0,
  deadlyIntervalMs: Infinity,
  workers: 8,
  silences: { intervalMs: 2_000, minMs: 3_500, maxMs: 7_000 },
  runs: { minMs: 800, maxMs: 4_000, estimateMs: 2_400 },
};

const test = suite('crashes after silences');

// Guards against sound jobs given up for crashes that were under none of their runs.
test('no sound job is given up as workers fall silent each 2 s and crash after 3.5 to 7 s', async () => {
  const faults: string[] = [];
  for (const seed of SEEDS) {
    const { soundFailed, crashesOfFailed, standing } = await runCrashSeries({ ...SERIES, seed });
    soundFailed.forEach((id) =>
      faults.push(`seed ${seed}: ${id} was given up, crashes: ${crashesOfFailed.get(id)}`),
    );
    standing.forEach((id) => faults.push(`seed ${seed}: ${id} has nothing running`));
  }
  assert.equal(faults, []);
});

test.run();
