/** Port to random numbers, so that decisions are reproducible from a seed. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Returns the next random number in [0, 1). */
export type Random = () => number;

const UINT32_RANGE = 2 ** 32;

/** Creates a reproducible random number generator from an integer seed. */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / UINT32_RANGE;
}
