/** Base values of a worker, a step, a policy and a job, which tests of planners adapt. */
import type { JobPolicy, JobSpec, StepSpec } from 'vanilladock/lib/jobs/spec.js';
import type { WorkerEntry } from 'vanilladock/lib/ports/task-workers.js';

export const POOL = 'stalls';

export const ENTRY: WorkerEntry = {
  id: 'w1',
  bornMs: 1,
  address: '10.0.0.1:1',
  pool: POOL,
  instance: 'm1',
  rack: undefined,
  labels: [],
  capacity: { cores: 4, memoryMb: 100, accelerators: 0 },
  phase: 'ready',
};

export const STEP: StepSpec = {
  count: 1,
  size: { cores: 1, memoryMb: 1, accelerators: 0 },
  estimateMs: 1_000,
  dependsOn: [],
  isCheckpointing: false,
  isGang: false,
  isSameRack: false,
  requiredLabel: undefined,
  dataRack: undefined,
  maxPerWorker: undefined,
  isSpeculative: false,
  isLasting: false,
  image: '',
  tailTargetMs: undefined,
  isFilling: false,
  maxUnavailable: undefined,
};

export const POLICY: JobPolicy = {
  priority: 0,
  maxAttempts: 2,
  stretch: 1,
  targetLatencyMs: 1,
  advice: undefined,
};

export const SPEC: JobSpec = {
  id: 'a',
  route: 'r',
  payload: '',
  steps: [STEP],
  repeatCount: 0,
  startAtMs: 0,
  intervalMs: 0,
};

export const SILENT_LOG = { info: () => {}, warn: () => {}, error: () => {} };

/** Makes the query of a planner that has stopped and tells nothing but that. */
export const makeStoppedQuery = (token: number | undefined) => () =>
  Promise.resolve({ hasStopped: true, token, told: undefined, knownMs: performance.now() });

/** Options of a pool's runner that most tests leave alone; its claim is always in force. */
export const RUNNER_BASE = {
  storePartitions: 8,
  advisor: { advise: () => new Promise<never>(() => {}) },
  statusMs: 60_000,
  log: SILENT_LOG,
  pool: POOL,
  claim: { duty: `pool/${POOL}`, holder: 'a', token: 1 },
  isInForce: () => true,
  queryPredecessor: makeStoppedQuery(undefined),
  handleLost: () => {},
};
