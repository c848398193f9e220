/**
 * One instance of a simulation: real claims and real planners, wired as an instance's entry wires
 * them. A process that is gone sends nothing and gets no answers.
 */
import { FLEET_DUTY } from '../lib/jobs/fleet-runner.js';
import { createDutyClaims, type DutyClaims } from '../lib/jobs/duty-claims.js';
import { makePoolDuty } from '../lib/jobs/job-gateway.js';
import type { SentNotice } from '../lib/jobs/peer-messages.js';
import { startPoolRunner, type PoolRunner, type PoolSources } from '../lib/jobs/pool-runner.js';
import type { LogFields } from '../lib/json-log.js';
import type { Member } from 'vanilladock/lib/duties/claim-table.js';
import type { PeerOutcome } from 'vanilladock/lib/duties/authority.js';
import { NEVER } from './memory-store.js';

/** Dependencies of an instance. */
export interface SimulatedInstanceOptions extends Omit<PoolSources, 'log'> {
  readonly self: Member;
  readonly pools: readonly string[];
  readonly sendNotice: (peer: Member, notice: SentNotice) => Promise<PeerOutcome>;
  readonly handleLog: (self: Member, fields: LogFields) => void;
}

/** An instance that runs, stops or is gone. */
export interface SimulatedInstance {
  readonly self: Member;
  readonly claims: DutyClaims;
  readonly findRunner: (pool: string) => PoolRunner | undefined;
  /** Gives up everything as an entry does that is told to stop. */
  readonly release: () => Promise<void>;
  /** Ends the process: from now on it sends nothing and gets no answers. */
  readonly end: () => void;
  readonly isGone: () => boolean;
}

/** Starts an instance. */
export function startSimulatedInstance(options: SimulatedInstanceOptions): SimulatedInstance {
  const { self, pools, handleLog } = options;
  const runners = new Map<string, PoolRunner>();
  let isGone = false;
  let lastStoreContactMs = -Infinity;

  const makeCall =
    <Arguments extends readonly unknown[], Value>(
      call: (...given: Arguments) => Promise<Value>,
    ): ((...given: Arguments) => Promise<Value>) =>
    async (...given) => {
      if (isGone) return NEVER;
      const value = await call(...given);
      return isGone ? NEVER : value;
    };
  const add = (fields: LogFields) => {
    if (!isGone) handleLog(self, fields);
  };
  const log = { info: add, warn: add, error: add };
  const store = {
    append: makeCall(options.store.append),
    read: makeCall(options.store.read),
    readNewest: makeCall(options.store.readNewest),
  };
  const workers = {
    startTask: makeCall(options.workers.startTask),
    stopTask: makeCall(options.workers.stopTask),
    renew: makeCall(options.workers.renew),
    pace: makeCall(options.workers.pace),
  };
  const claims = createDutyClaims({
    store,
    self,
    listDuties: () => [...pools.map(makePoolDuty), FLEET_DUTY],
    handleContact: () => {
      lastStoreContactMs = performance.now();
    },
    getStoreContactMs: () => lastStoreContactMs,
    sendNotice: makeCall(options.sendNotice),
    log,
  });
  const startRunner = (pool: string) => {
    const duty = makePoolDuty(pool);
    const claim = claims.held.value.get(duty);
    if (claim === undefined || runners.has(pool)) return;
    const runner = startPoolRunner({
      ...options,
      store,
      workers,
      log,
      pool,
      claim,
      isInForce: () => claims.isInForce(claim),
      queryPredecessor: () => claims.queryPredecessor(claim),
      handleLost: (why) => {
        runners.delete(pool);
        claims.dropDuty(duty, why);
      },
    });
    runners.set(pool, runner);
  };
  claims.held.subscribe((held) => {
    [...runners].forEach(([pool, runner]) => {
      const claim = held.get(makePoolDuty(pool));
      if (claim?.token === runner.claim.token) return;
      runners.delete(pool);
      runner.stop();
    });
    pools.forEach(startRunner);
  });
  claims.start();
  const release = async () => {
    runners.forEach((runner) => runner.stop());
    runners.clear();
    await claims.stop();
  };
  return {
    self,
    claims,
    findRunner: (pool) => runners.get(pool),
    release,
    end: () => {
      isGone = true;
      void release();
    },
    isGone: () => isGone,
  };
}
