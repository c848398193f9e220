/** Several maintenance waves at once over the instances of one pool. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import type { FleetInstance, WaveOrder } from 'vanilladock/lib/ports/fleet.js';
import { createEvacuations } from '../lib/jobs/evacuations.js';
import type { FleetDuty } from '../lib/jobs/fleet-runner.js';
import type { JobRequest } from '../lib/jobs/job-request.js';
import type { WaveJournal } from '../lib/jobs/wave-journal.js';
import { createWaveRunner } from '../lib/jobs/wave-runner.js';
import { SILENT_LOG } from './job-fixtures.js';

const test = suite('concurrent waves');

const INSTANCE_COUNT = 4;

const INSTANCES: readonly FleetInstance[] = Array.from({ length: INSTANCE_COUNT }, (_, index) => ({
  id: `a-${index}`,
  pool: 'a',
  state: 'up',
  dataCentre: 'hobart',
  labels: [],
  cores: 8,
  workerId: `w-a-${index}`,
}));

/** One wave for each instance. */
const WAVES = new Map(
  INSTANCES.map(({ id }, index): [number, WaveOrder] => [
    index,
    { wave: index, instances: [id], durationMs: 60_000, maxConcurrent: 1 },
  ]),
);

// Guards against a pool that stands for good: lasting tasks find no worker to move to, so that no
// instance is ever taken down and all stay excluded.
test('waves at the same time drain at most half of a pool', async () => {
  const evacuated = new Set<string>();
  const answerOnce = async (request: JobRequest) => {
    if (request.kind === 'evacuate') evacuated.add(request.workerId);
    return { kind: 'content', lastingTasks: 1, batchTasks: 0 };
  };
  const gateway = { answerOnce } as unknown as FleetDuty['gateway'];
  const duty = {
    config: { value: { pools: [{ name: 'a', isStandby: false }] } },
    waves: { value: WAVES },
    publishWave: async () => true,
    gateway,
    evacuations: createEvacuations(gateway),
    log: SILENT_LOG,
    isStopped: () => false,
  };
  const journal = { isCompleted: () => false, listSteps: () => new Map() };
  const runner = createWaveRunner(duty as unknown as FleetDuty, journal as unknown as WaveJournal);
  const instances = new Map(INSTANCES.map((instance) => [instance.id, instance]));
  for (let round = 0; round < 3; round += 1) {
    evacuated.clear();
    await runner.run(instances);
    assert.equal([...evacuated].sort(), ['w-a-0', 'w-a-1']);
  }
});

test.run();
