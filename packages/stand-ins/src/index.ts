/**
 * Stand-ins for the external systems that vanilladock depends on, for the demo, tests and
 * measurements.
 *
 * @example
 * ```ts
 * const log = await startLogServer();
 * log.setFaults({ isDown: true });
 * await log.close();
 * ```
 */
export * from './lib/caller.js';
export * from './lib/crowd.js';
export * from './lib/fault-actions.js';
export * from './lib/fault-proxy.js';
export * from './lib/faults.js';
export * from './lib/instance-server.js';
export * from './lib/json-server.js';
export * from './lib/log-server.js';
export * from './lib/pool-server.js';
export * from './lib/process-use.js';
export * from './lib/upstream-answers.js';
export * from './lib/upstream.js';
