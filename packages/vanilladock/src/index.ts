/**
 * Decision core of vanilladock: pure folds and decisions over the log, and the ports through which
 * daemons access the platform.
 *
 * @example
 * ```ts
 * import { createConfigState, foldConfig, resolveValues } from 'vanilladock';
 *
 * const state = records.reduce(foldConfig, createConfigState());
 * const values = resolveValues(state.config, { team: 'market-stalls' }, Date.now());
 * ```
 */
export * from './lib/admission/admission.js';
export * from './lib/admission/core.js';
export * from './lib/admission/request.js';
export * from './lib/admission/slot-shares.js';
export * from './lib/config/check.js';
export * from './lib/config/diff.js';
export * from './lib/config/explain-path.js';
export * from './lib/config/fold.js';
export * from './lib/config/parse.js';
export * from './lib/config/records.js';
export * from './lib/config/resolve.js';
export * from './lib/config/rules.js';
export * from './lib/config/schema.js';
export * from './lib/duties/decide.js';
export * from './lib/duties/fold.js';
export * from './lib/duties/records.js';
export * from './lib/log/codec.js';
export * from './lib/log/digests.js';
export * from './lib/log/domains.js';
export * from './lib/log/fleet-state.js';
export * from './lib/log/record.js';
export * from './lib/maintenance/candidates.js';
export * from './lib/maintenance/capacity.js';
export * from './lib/maintenance/decisions.js';
export * from './lib/maintenance/executor.js';
export * from './lib/maintenance/fold.js';
export * from './lib/maintenance/forecast.js';
export * from './lib/maintenance/losses.js';
export * from './lib/maintenance/plan-waves.js';
export * from './lib/maintenance/policy.js';
export * from './lib/log/snapshot.js';
export * from './lib/log/snapshot-record.js';
export * from './lib/log/state-codec.js';
export * from './lib/maintenance/records.js';
export * from './lib/maintenance/waves.js';
export * from './lib/membership/fleet-demand.js';
export * from './lib/membership/membership.js';
export * from './lib/membership/usage-report.js';
export * from './lib/placement/records.js';
export * from './lib/pools/barrier.js';
export * from './lib/pools/demand.js';
export * from './lib/pools/fairness.js';
export * from './lib/pools/fences.js';
export * from './lib/pools/fold.js';
export * from './lib/pools/plan-loans.js';
export * from './lib/pools/plan-moves.js';
export * from './lib/pools/recent-ids.js';
export * from './lib/pools/records.js';
export * from './lib/ports/instance-list.js';
export * from './lib/ports/log-service.js';
export * from './lib/ports/pools.js';
export * from './lib/ports/random.js';
export * from './lib/ports/workers.js';
export * from './lib/routing/choose-upstream.js';
export * from './lib/routing/departure.js';
export * from './lib/routing/health.js';
export * from './lib/routing/retry-budget.js';
export * from './lib/shutdown/drain-deadline.js';
export * from './lib/topology.js';
export * from './lib/verdict.js';
