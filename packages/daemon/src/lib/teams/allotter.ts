/**
 * Sends the planners of all pools what their teams may use, under the claim on the fleet duty. It
 * needs no fleet orders and starts at once, without the gap that two holders keep for those.
 */
import type { Claim } from 'vanilladock/lib/duties/claim-table.js';
import type { FleetConfig } from 'vanilladock/lib/ports/fleet.js';
import {
  computeRoundMs,
  createAllotmentLedger,
  type TeamShare,
} from 'vanilladock/lib/teams/allotment-ledger.js';
import { waitMs } from '../jobs/clock.js';
import { runEndlessLoop } from '../jobs/endless-loop.js';
import type { JobGateway } from '../jobs/job-gateway.js';
import type { JsonLog } from '../json-log.js';

/** Dependencies of the allotter of one claim. */
export interface AllotterOptions {
  readonly claim: Claim;
  readonly gateway: Pick<JobGateway, 'answerOnce'>;
  readonly getConfig: () => FleetConfig | undefined;
  readonly isStopped: () => boolean;
  readonly log: JsonLog;
}

/** Pause between two looks at a configuration without teams. */
const IDLE_MS = 1_000;

/** Starts the rounds; they end when the duty is stopped. */
export function startAllotter(options: AllotterOptions): void {
  const { claim, gateway, getConfig, isStopped, log } = options;
  const ledger = createAllotmentLedger(performance.now());
  const unanswered = new Set<string>();
  let sequence = 0;

  /** Logs when a pool stops or starts to answer. */
  const observeAnswer = (pool: string, hasAnswered: boolean, why: string) => {
    if (unanswered.has(pool) !== hasAnswered) return;
    if (hasAnswered) unanswered.delete(pool);
    else unanswered.add(pool);
    log.info({ event: hasAnswered ? 'allotments-known' : 'allotments-unknown', pool, why });
  };
  const sendShares = async (pool: string, shares: Readonly<Record<string, TeamShare>>) => {
    const planner = ledger.getPlanner(pool);
    const message = { token: claim.token, sequence, shares, planner };
    const reply = await gateway.answerOnce({ kind: 'allot', pool, message });
    if (reply.kind === 'team-use') ledger.observeReport(pool, reply.report);
    observeAnswer(pool, reply.kind === 'team-use', 'why' in reply ? String(reply.why) : reply.kind);
  };
  const busy = new Set<string>();
  const runRound = (config: FleetConfig) => {
    const pools = config.pools.map(({ name }) => name);
    const messages = ledger.plan(config.teams?.teams ?? new Map(), pools, performance.now());
    sequence += 1;
    // A pool that is slow to answer does not hold up the others.
    [...messages]
      .filter(([pool]) => !busy.has(pool))
      .forEach(([pool, shares]) => {
        busy.add(pool);
        sendShares(pool, shares)
          .catch((error: unknown) =>
            log.error({ event: 'allotments-failed', pool, reason: String(error) }),
          )
          .finally(() => busy.delete(pool));
      });
  };
  const runRoundIfDue = async () => {
    const config = getConfig();
    if (config?.teams !== undefined) runRound(config);
    await waitMs(config?.teams === undefined ? IDLE_MS : computeRoundMs(config.pools.length));
  };
  void runEndlessLoop({ where: 'allotments', log, isStopped, runRound: runRoundIfDue });
}
