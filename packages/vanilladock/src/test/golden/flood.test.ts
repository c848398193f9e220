/** Golden session on a fake clock: an entry serves other work during a flood of patient work. */
import { install } from '@sinonjs/fake-timers';
import { suite } from 'uvu';
import { createAdmission } from '../../lib/admission/admission.js';
import type { AdmissionRequest } from '../../lib/admission/request.js';
import { compareGolden } from './compare-golden.js';

const SERVICE_MS = 100;
const SLOTS = 2;

const test = suite('golden flood');

test('a flood from its first request to its last retry', async () => {
  const clock = install();
  const lines: unknown[] = [];
  const admission = createAdmission();
  const write = (line: object) => lines.push({ atMs: Math.round(performance.now()), ...line });
  const send = async (id: string, part: Pick<AdmissionRequest, 'team' | 'urgency'>) => {
    const values = { weight: 1, quotaPerSecond: 100, queueLength: 6 };
    const deadlineAtMs = performance.now() + 1_500;
    const request = { id, service: 'smoke-logs', deadlineAtMs, values, ...part };
    const admitted = await admission.admit(request, new AbortController().signal);
    if (admitted.isErr()) {
      const { code, verdict, retryAfterMs = 0 } = admitted.error;
      write({ id, event: 'refused', code, verdict, retryAfterMs });
      if (retryAfterMs > 0) setTimeout(() => void send(id, part), retryAfterMs);
      return;
    }
    write({ id, event: 'started' });
    setTimeout(() => {
      write({ id, event: 'ended' });
      admitted.value.release();
    }, SERVICE_MS);
  };
  try {
    admission.setCapacity('smoke-logs', SLOTS);
    for (let index = 0; index < 20; index += 1) {
      void send(`log-${index}`, { team: 'smoke', urgency: 'patient' });
    }
    await clock.tickAsync(10);
    void send('price-0', { team: 'stalls', urgency: 'quick' });
    void send('plan-0', { team: 'restaurants', urgency: 'heavy' });
    await clock.tickAsync(10_000);
    write({ event: 'counts', ...admission.getStats().services.get('smoke-logs') });
  } finally {
    clock.uninstall();
  }
  compareGolden('flood', lines);
});

test.run();
