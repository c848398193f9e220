/**
 * One instance of a simulation: real claims and real planners, wired as an instance's entry wires
 * them. A process that is gone sends nothing and gets no answers.
 */
import { FLEET_DUTY } from '../lib/jobs/fleet-runner.js';
import { createDutyClaims } from '../lib/jobs/duty-claims.js';
import type { DutyClaims } from '../lib/jobs/duty-claims-types.js';
import { createHandOverMemory } from '../lib/jobs/hand-over-memory.js';
import { makePoolDuty } from '../lib/jobs/job-gateway.js';
import type { SentNotice } from '../lib/jobs/peer-messages.js';
import type { PoolRunner, PoolSources } from '../lib/jobs/pool-runner.js';
import { startPoolRunners } from '../lib/jobs/pool-runners.js';
import type { LogFields } from '../lib/json-log.js';
import type { Member } from 'vanilladock/lib/duties/claim-table.js';
import type { PeerOutcome } from 'vanilladock/lib/duties/authority.js';
import { NEVER } from './memory-store.js';
import { runOutside, type ProcessClock } from './process-clock.js';

/** Dependencies of an instance. */
export interface SimulatedInstanceOptions extends Omit<PoolSources, 'log'> {
  readonly self: Member;
  readonly clock: ProcessClock;
  readonly pools: readonly string[];
  readonly sendNotice: (peer: Member, notice: SentNotice) => Promise<PeerOutcome>;
  readonly handleLog: (self: Member, fields: LogFields) => void;
}

/** An instance that runs, stops or is gone. */
export interface SimulatedInstance {
  readonly self: Member;
  readonly clock: ProcessClock;
  readonly claims: DutyClaims;
  readonly findRunner: (pool: string) => PoolRunner | undefined;
  /** Gives up everything as an entry does that is told to stop. */
  readonly release: DutyClaims['stop'];
  /** Ends the process: from now on it sends nothing and gets no answers. */
  readonly end: () => void;
  readonly isGone: () => boolean;
}

/** Starts an instance, under its clock. */
export function startSimulatedInstance(options: SimulatedInstanceOptions): SimulatedInstance {
  return options.clock.run(() => startInstance(options));
}

function startInstance(options: SimulatedInstanceOptions): SimulatedInstance {
  const { self, clock, pools, handleLog } = options;
  let isGone = false;
  let lastStoreContactMs = -Infinity;

  const makeCall =
    <Arguments extends readonly unknown[], Value>(
      call: (...given: Arguments) => Promise<Value>,
    ): ((...given: Arguments) => Promise<Value>) =>
    async (...given) => {
      if (isGone) return NEVER;
      const value = await runOutside(() => call(...given));
      await clock.waitAwake();
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
  const handOvers = createHandOverMemory();
  const claims = createDutyClaims({
    store,
    self,
    listDuties: () => [...pools.map(makePoolDuty), FLEET_DUTY],
    isHandedOver: (duty) => duty !== FLEET_DUTY,
    handleContact: () => {
      lastStoreContactMs = performance.now();
    },
    getStoreContactMs: () => lastStoreContactMs,
    sendNotice: makeCall(options.sendNotice),
    findHandOver: (duty) => handOvers.find(duty, performance.now()),
    log,
  });
  const runners = startPoolRunners({
    ...options,
    store,
    workers,
    log,
    claims,
    listPools: () => pools,
    handOvers,
  });
  claims.start();
  return {
    self,
    clock,
    claims,
    findRunner: runners.find,
    release: (mayHold) => clock.call(() => claims.stop(mayHold)),
    end: () => {
      isGone = true;
      void clock.call(() => claims.stop(() => false));
    },
    isGone: () => isGone,
  };
}
