/**
 * The entry daemon of vanilladock as a library: parses settings and starts entries.
 *
 * @example
 * ```ts
 * const entry = await startEntry(parseSettings(text).unwrap());
 * await entry.stop();
 * ```
 */
export * from './lib/entry.js';
export * from './lib/settings.js';
