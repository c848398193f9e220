/** A session of routing on a fake clock: decisions and upstream states against a golden file. */
import { install } from '@sinonjs/fake-timers';
import { suite } from 'uvu';
import { chooseUpstream, createRandom, type Instance, type InstanceState } from 'vanilladock';
import { addAttempt, createRetryFilter, type AttemptCounts } from '../lib/request/retry.js';
import type { RequestContext } from '../lib/request/context.js';
import type { ForwardResult } from '../lib/request/forward.js';
import { createUpstreamTable } from '../lib/upstream-table.js';
import { checkGolden } from './golden.js';

const test = suite('routing-golden');
const LOCATION = { region: 'tasmania', dataCentre: 'hobart', rack: 'r1' };
const STEP_MS = 250;
const STEPS = 120;

/** Lists three upstreams; the last one, `c`, is in the given state. */
const listInstances = (lastState: InstanceState): readonly Instance[] =>
  ['a', 'b', 'c'].map((id) => ({
    id,
    role: 'upstream',
    service: 'prices',
    address: `10.0.0.1:${id}`,
    location: LOCATION,
    state: id === 'c' ? lastState : 'live',
    attributes: {},
  }));

/** The upstreams' scripted behaviour: `a` fails from 5 to 10 s, `b` is leaving from 12 to 20 s. */
const getScriptedResult = (id: string, nowMs: number): ForwardResult => {
  if (id === 'a' && nowMs >= 5_000 && nowMs < 10_000) {
    return {
      failure: { code: 'connect-failed', verdict: 'not-run', message: 'refused' },
      observation: { outcome: { kind: 'failed' } },
    };
  }
  if (id === 'b' && nowMs >= 12_000 && nowMs < 20_000) {
    return {
      failure: { code: 'upstream-refused', verdict: 'not-run', message: 'leaving' },
      observation: { departureSignal: 'leaving' },
    };
  }
  return {
    observation: { departureSignal: 'staying', outcome: { kind: 'answered', latencyMs: 5 } },
  };
};

test('failure, probation, leaving by signal and by list over 30 s', () => {
  const clock = install({ toFake: ['performance', 'setTimeout', 'Date'] });
  const table = createUpstreamTable();
  const retries = createRetryFilter(() => false);
  const random = createRandom(7);
  const lines: string[] = [];
  const context = {
    service: 'prices',
    isIdempotent: false,
    values: { retryBudgetShare: 0.1 },
  } as unknown as RequestContext;
  table.setLimits('prices', { maxEjectedShare: 0.5, leaveGraceMs: 2_000 });
  table.setInstances(listInstances('live'));
  const sendRequest = () => {
    retries.observeRequest('prices');
    const triedIds: string[] = [];
    let counts: AttemptCounts = { attempts: 0, breaks: 0 };
    for (;;) {
      const candidates = table.listCandidates('prices').filter(({ id }) => !triedIds.includes(id));
      const upstream = chooseUpstream(candidates, random);
      if (upstream === undefined) return `${triedIds.join(' ')} none left`;
      triedIds.push(upstream.id);
      table.observeStart(upstream.id);
      const result = getScriptedResult(upstream.id, performance.now());
      table.observeEnd(upstream.id, result.observation);
      if (result.failure === undefined) return `${triedIds.join(' ')} answered`;
      counts = addAttempt(counts, result);
      if (!retries.mayRetry(context, result, counts)) return `${triedIds.join(' ')} failed`;
    }
  };
  for (let step = 0; step < STEPS; step += 1) {
    if (step * STEP_MS === 22_000) table.setInstances(listInstances('leaving'));
    const summary = sendRequest();
    const states = table.listStatus().map(({ id, state }) => `${id}=${state}`);
    lines.push(
      `${String(step * STEP_MS).padStart(5)} ms  ${summary.padEnd(14)}  ${states.join(' ')}`,
    );
    clock.tick(STEP_MS);
  }
  clock.uninstall();
  checkGolden('routing-session', lines);
});

test.run();
