/** Numbers that a simulation draws from its seed, apart from the draws of the steps that it plays. */

const FACTOR = 48_271;
const MODULUS = 2_147_483_647;

/** Creates a function that draws an integer from 1 to the given one; the same seed draws the same. */
export const createSeededPick = (seed: number) => {
  let state = seed;
  return (max: number): number => {
    state = (state * FACTOR) % MODULUS;
    return 1 + (state % max);
  };
};
