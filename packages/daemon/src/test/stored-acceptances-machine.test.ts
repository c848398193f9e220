/**
 * State-machine test of what callers were told about their jobs, over a store that refuses appends,
 * loses its answers and carries out late what it did not answer, while planners are stopped in the
 * middle of a submission or superseded. What was accepted is loaded by each next planner, and what was
 * only refused by none.
 */
import type { Clock } from '@sinonjs/fake-timers';
import fc from 'fast-check';
import { BehaviorSubject } from 'rxjs';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import type { TaskWorkers, WorkerEntry } from 'vanilladock/lib/ports/task-workers.js';
import { createJobGateway } from '../lib/jobs/job-gateway.js';
import type { JobReply, JobRequest } from '../lib/jobs/job-request.js';
import type { PeerClient } from '../lib/jobs/peers.js';
import { startPoolRunner, type PoolRunner } from '../lib/jobs/pool-runner.js';
import { createFaultyStore, type StoreFault } from './faulty-store.js';
import { POLICY, POOL, RUNNER_BASE, SILENT_LOG, SPEC } from './job-fixtures.js';
import { NEVER, waitFor } from './memory-store.js';
import { runSteps, type TimedStep } from './run-steps.js';
import { createSeededPick } from './seeded-pick.js';

const SEED = 20_261_206;
const CASES = 150;
const SECOND_MS = 1_000;
const JOB_IDS = ['a', 'b', 'c', 'd'] as const;

/** Time after which everything that was held up has arrived. */
const SETTLE_MS = 8 * SECOND_MS;

type Step =
  | { readonly kind: 'submit' | 'cancel'; readonly id: string }
  | { readonly kind: 'store'; readonly fault: StoreFault }
  /** The planner is stopped, as by SIGTERM, and another one takes over. */
  | { readonly kind: 'stop'; readonly downMs: number }
  /** Another planner takes over from one that goes on, and that some requests still reach. */
  | { readonly kind: 'supersede'; readonly knownAfterMs: number };

/** What the callers of a job were told. */
interface Told {
  readonly submissions: JobReply['kind'][];
  readonly cancels: JobReply['kind'][];
}

/** Creates planners, their store and an instance without planners; time passes only by the clock. */
const createSimulation = (seed: number) => {
  const pickMs = createSeededPick(seed);
  const { store, setFault } = createFaultyStore(pickMs);
  const told = new Map<string, Told>(JOB_IDS.map((id) => [id, { submissions: [], cancels: [] }]));
  let token = 0;
  let earlier: PoolRunner | undefined;
  const startRunner = () => {
    token += 1;
    return startPoolRunner({
      ...RUNNER_BASE,
      store,
      workers: { renew: () => NEVER } as unknown as TaskWorkers,
      entries: new BehaviorSubject<ReadonlyMap<string, WorkerEntry>>(new Map()),
      claim: { duty: `pool/${POOL}`, holder: 'a', token },
    });
  };
  let runner: PoolRunner | undefined = startRunner();
  const holder = { id: 'planner', name: 'planner', address: 'p', cores: 1, zone: '' };
  /** Sends a request to a planner; a tenth of the answers is lost. */
  const send = async (_: unknown, request: JobRequest, timeoutMs: number): Promise<JobReply> => {
    const isEarlier = earlier !== undefined && pickMs(2) === 1;
    const asked = isEarlier ? earlier : runner;
    if (asked === undefined) return { kind: 'unavailable', why: 'peer', retryAfterMs: 1 };
    const unanswered = waitFor(timeoutMs).then(() => ({ kind: 'unknown', why: 'late' }) as const);
    const answerCall = async () => {
      await waitFor(pickMs(20));
      const reply = await asked.answer(request);
      await waitFor(pickMs(20));
      return pickMs(10) === 1 ? NEVER : reply;
    };
    return Promise.race([answerCall(), unanswered]);
  };
  const gateway = createJobGateway({
    findRunner: () => undefined,
    findHolder: () => ({
      claim: { duty: `pool/${POOL}`, holder: 'planner', token },
      member: holder,
    }),
    listMembers: () => [],
    selfId: 'self',
    peers: { send } as unknown as PeerClient,
    mayBeOld: () => false,
    log: SILENT_LOG,
  });
  const applyStep = async (step: Step): Promise<void> => {
    switch (step.kind) {
      case 'submit': {
        const spec = { ...SPEC, id: step.id };
        const request = { kind: 'submit', pool: POOL, spec, policy: POLICY } as const;
        const { kind } = await gateway.answer(request);
        told.get(step.id)?.submissions.push(kind);
        return;
      }
      case 'cancel': {
        // Counted before it has an answer, as it may have taken effect.
        const { cancels } = told.get(step.id)!;
        const index = cancels.push('unknown') - 1;
        const { kind } = await gateway.answer({ kind: 'cancel', pool: POOL, jobId: step.id });
        cancels[index] = kind;
        return;
      }
      case 'store':
        setFault(step.fault);
        return;
      case 'stop': {
        const stopped = runner;
        runner = undefined;
        stopped?.stop();
        await waitFor(step.downMs);
        runner ??= startRunner();
        return;
      }
      case 'supersede': {
        if (runner === undefined || earlier !== undefined) return;
        const superseded = runner;
        earlier = superseded;
        runner = startRunner();
        await waitFor(step.knownAfterMs);
        earlier = undefined;
        superseded.stop();
        return;
      }
      default:
        step satisfies never;
    }
  };
  /** Lists where a next planner differs from what callers were told. */
  const check = async (clock: Clock): Promise<readonly string[]> => {
    setFault('none');
    await clock.tickAsync(SETTLE_MS);
    runner?.stop();
    const last = startRunner();
    await clock.tickAsync(SECOND_MS);
    const found: string[] = [];
    for (const [id, { submissions, cancels }] of told) {
      const reply = await last.answer({ kind: 'status', pool: POOL, jobId: id });
      const state = reply.kind === 'state' ? reply.state : reply.kind;
      const isAccepted = submissions.includes('accepted');
      const isCancelled = cancels.some((kind) => kind === 'cancelled' || kind === 'no-such-job');
      const isRefused = submissions.every((kind) => kind === 'refused' || kind === 'unavailable');
      if (isAccepted && cancels.length === 0 && state !== 'queued') {
        found.push(`${id} was accepted and is ${state}`);
      }
      if (isCancelled && state === 'queued') found.push(`${id} was cancelled and is ${state}`);
      if (isRefused && state !== 'no-such-job') found.push(`${id} was refused and is ${state}`);
      if (cancels.length === 0 && state === 'cancelled') found.push(`${id} was not cancelled`);
    }
    last.stop();
    return found;
  };
  return { applyStep, check };
};

const id = fc.constantFrom(...JOB_IDS);
const steps = fc.array(
  fc.record({
    step: fc.oneof(
      { weight: 8, arbitrary: fc.record({ kind: fc.constant('submit' as const), id }) },
      { weight: 1, arbitrary: fc.record({ kind: fc.constant('cancel' as const), id }) },
      {
        weight: 4,
        arbitrary: fc.record({
          kind: fc.constant('store' as const),
          fault: fc.constantFrom<StoreFault>('none', 'refused', 'lost', 'late', 'slow', 'mixed'),
        }),
      },
      {
        weight: 2,
        arbitrary: fc.record({
          kind: fc.constant('stop' as const),
          downMs: fc.integer({ min: 1, max: 900 }),
        }),
      },
      {
        weight: 2,
        arbitrary: fc.record({
          kind: fc.constant('supersede' as const),
          knownAfterMs: fc.integer({ min: 1, max: 2_000 }),
        }),
      },
    ),
    waitMs: fc.oneof(fc.integer({ min: 1, max: 60 }), fc.integer({ min: 1, max: 900 })),
  }),
  { minLength: 4, maxLength: 20 },
);

/** Runs a case and returns what was violated. */
const runCase = (seed: number, list: readonly TimedStep<Step>[]) =>
  runSteps(() => createSimulation(seed), list);

const test = suite('stored acceptances machine');

// Guards against an accepted job that a next planner does not know, and a refused one that it runs.
test('each next planner has what was accepted, and nothing that was only refused', async () => {
  const property = fc.asyncProperty(fc.integer({ min: 1, max: 1e6 }), steps, async (seed, list) =>
    assert.equal(await runCase(seed, list), []),
  );
  await fc.assert(property, { numRuns: CASES, seed: SEED, endOnFailure: true });
});

test.run();
