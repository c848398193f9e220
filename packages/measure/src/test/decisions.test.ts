/** Tests that the policies chosen for the product are still the best ones in simulated time. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { compareExchanges } from '../lib/exchange.js';
import { compareSlotPolicies } from '../lib/slots.js';

const SEED = 1;
const CASES = ['even', 'calm', 'skewed', 'churn', 'slow'];
const SIZES = [6, 8, 16, 32];

const test = suite('decisions');

test('assigned slot shares keep goodput high and keep queues out of the upstreams', () => {
  const figures = compareSlotPolicies(SEED);
  const get = (key: string) => figures[key] ?? NaN;
  CASES.forEach((name) => {
    assert.ok(get(`dealt_${name}_goodput`) >= 0.97, name);
    assert.ok(get(`dealt_${name}_upstream_wait_p99_ms`) <= get(`two_${name}_upstream_wait_p99_ms`));
  });
});

test('threshold reports err least and detect an overrun no later than others, in no more bytes', () => {
  const figures = compareExchanges(SEED);
  SIZES.forEach((size) => {
    const get = (method: string, key: string) => figures[`${method}_${size}_${key}`] ?? NaN;
    ['exact', 'probabilistic'].forEach((other) => {
      assert.ok(get('threshold', 'error_of_quota') < get(other, 'error_of_quota'));
      assert.ok(get('threshold', 'detect_s') <= get(other, 'detect_s'));
    });
    assert.ok(get('threshold', 'bytes_per_s_to_a_peer') <= get('exact', 'bytes_per_s_to_a_peer'));
  });
});

test.run();
