/**
 * Measurements of vanilladock.
 *
 * @example
 * ```ts
 * const figures = await MEASURES[0].run({ seed: 1, log: console.error });
 * ```
 */
export * from './lib/measure.js';
export * from './lib/processes.js';
export * from './lib/registry.js';
