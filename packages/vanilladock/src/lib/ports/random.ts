/** Port to random numbers, so that decisions are repeatable from a seed. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Yields the next number in [0, 1). */
export type Random = () => number;

const UINT32_RANGE = 2 ** 32;

/** Creates a repeatable source of random numbers from an integer seed. */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / UINT32_RANGE;
}
