/**
 * Runs the fleet duty under one claim: carries out maintenance waves. Every order is written to a
 * ledger first, so that a successor knows which orders may still take effect.
 */
import type { BehaviorSubject } from 'rxjs';
import type { Claim } from 'vanilladock/lib/duties/claim-table.js';
import type { Fleet, FleetConfig, FleetInstance, WaveOrder } from 'vanilladock/lib/ports/fleet.js';
import type { KeyedStore } from 'vanilladock/lib/ports/keyed-store.js';
import { planWave, type WaveStep, type WorkerContent } from 'vanilladock/lib/waves/plan-wave.js';
import type { JsonLog } from '../json-log.js';
import { waitMs } from './clock.js';
import type { JobGateway } from './job-gateway.js';
import { createWaveLedger } from './wave-ledger.js';

/** Name of the duty. */
export const FLEET_DUTY = 'fleet';

/** What the runner needs. */
export interface FleetRunnerOptions {
  readonly claim: Claim;
  readonly holder: string;
  readonly store: KeyedStore;
  readonly fleet: Fleet;
  readonly config: BehaviorSubject<FleetConfig | undefined>;
  readonly waves: BehaviorSubject<ReadonlyMap<number, WaveOrder>>;
  readonly publishWave: (order: WaveOrder, state: 'running' | 'completed') => Promise<boolean>;
  readonly gateway: JobGateway;
  /** Another holder may have given orders until this long before. */
  readonly holderGapMs: number;
  readonly log: JsonLog;
  readonly handleLost: (why: string) => void;
}

/** A running duty. */
export interface FleetRunner {
  readonly claim: Claim;
  readonly stop: () => void;
}

const TICK_MS = 400;
const IDLE_TICK_MS = 1_000;

/** What the duty remembers of one wave. */
interface WaveMemory {
  readonly emptyingSinceMs: Map<string, number>;
  readonly contents: Map<string, WorkerContent>;
  published: 'none' | 'running' | 'completed';
}

/** Starts the duty. */
export function startFleetRunner(options: FleetRunnerOptions): FleetRunner {
  const { claim, holder, fleet, config, waves, publishWave, gateway, log } = options;
  const fence = { holder, token: claim.token };
  const memories = new Map<number, WaveMemory>();
  const ledger = createWaveLedger(options.store, claim.token, log);
  const startedMs = performance.now();
  let isStopped = false;

  const lose = (why: string) => {
    if (isStopped) return;
    isStopped = true;
    ledger.close();
    options.handleLost(why);
  };
  const getMemory = (wave: number): WaveMemory => {
    const known = memories.get(wave);
    if (known !== undefined) return known;
    const made: WaveMemory = {
      emptyingSinceMs: new Map(),
      contents: new Map(),
      published: ledger.isCompleted(wave) ? 'completed' : 'none',
    };
    memories.set(wave, made);
    return made;
  };
  const write = async (order: WaveOrder, id: string, step: WaveStep): Promise<boolean> => {
    const outcome = await ledger.write(order.wave, id, step);
    if (outcome === 'lost') lose('ledger-fenced');
    return outcome === 'stored';
  };
  const emptyInstance = async (memory: WaveMemory, instance: FleetInstance) => {
    const { id, pool, workerId } = instance;
    if (workerId === undefined) return;
    if (!memory.emptyingSinceMs.has(id)) memory.emptyingSinceMs.set(id, performance.now());
    const reply = await gateway.answerOnce({ kind: 'evacuate', pool, workerId });
    if (reply.kind === 'content') memory.contents.set(id, reply);
    else memory.contents.delete(id);
  };
  const takeDown = async (order: WaveOrder, memory: WaveMemory, instance: FleetInstance) => {
    const { id, pool, workerId } = instance;
    if (!(await write(order, id, { kind: 'ordered', atMs: performance.now() }))) return;
    const outcome = await fleet.maintainInstance(id, order.wave, fence);
    log.info({
      event: 'maintenance-order',
      wave: order.wave,
      instance: id,
      pool,
      worker: workerId,
      token: fence.token,
      content: memory.contents.get(id),
      outcome,
    });
    switch (outcome.kind) {
      case 'done':
        if (workerId !== undefined) {
          void gateway.answerOnce({ kind: 'life-ended', pool, workerId });
        }
        await write(order, id, { kind: 'begun', atMs: performance.now() });
        return;
      case 'rejected':
        if (outcome.why === 'fenced') lose('fleet-fenced');
        else if (outcome.why === 'busy') await ledger.clear(order.wave, id);
        else await write(order, id, { kind: 'done' });
        return;
      case 'refused':
        await ledger.clear(order.wave, id);
        return;
      case 'unknown':
        return;
      default:
        outcome satisfies never;
    }
  };
  const runWave = async (order: WaveOrder, instances: ReadonlyMap<string, FleetInstance>) => {
    const memory = getMemory(order.wave);
    const standby = config.value?.pools.filter((pool) => pool.isStandby) ?? [];
    const plan = planWave({
      order,
      instances,
      steps: ledger.listSteps(order.wave),
      contents: memory.contents,
      emptyingSinceMs: memory.emptyingSinceMs,
      standbyPools: new Set(standby.map((pool) => pool.name)),
      nowMs: performance.now(),
    });
    const find = (id: string) => instances.get(id);
    for (const id of plan.finished) await write(order, id, { kind: 'done' });
    const toEmpty = plan.empty.map(find).filter((found) => found !== undefined);
    const toTakeDown = plan.takeDown.map(find).filter((found) => found !== undefined);
    await Promise.all(toTakeDown.map((instance) => takeDown(order, memory, instance)));
    if (isStopped) return;
    await Promise.all(toEmpty.map((instance) => emptyInstance(memory, instance)));
    const state = plan.isComplete ? 'completed' : 'running';
    if (memory.published !== state && (await publishWave(order, state))) {
      log.info({ event: 'wave-status', wave: order.wave, state });
      memory.published = state;
      if (state === 'completed') await ledger.complete(order.wave);
    }
  };
  const runTick = async () => {
    const open = [...waves.value.values()].filter(
      (order) => getMemory(order.wave).published !== 'completed',
    );
    if (open.length === 0) return IDLE_TICK_MS;
    const listed = await fleet.listInstances();
    if (listed === undefined) {
      log.warn({ event: 'dependency-lost', dependency: 'fleet' });
      return IDLE_TICK_MS;
    }
    const instances = new Map(listed.map((instance) => [instance.id, instance]));
    for (const order of open) if (!isStopped) await runWave(order, instances);
    return TICK_MS;
  };
  const run = async () => {
    if (!(await ledger.load())) {
      lose('ledger-fenced');
      return;
    }
    const isFirst = claim.token === 0;
    const gapMs = isFirst ? 0 : options.holderGapMs - (performance.now() - startedMs);
    await waitMs(Math.max(0, gapMs));
    while (!isStopped) await waitMs(await runTick());
  };
  void run();
  return {
    claim,
    stop: () => {
      isStopped = true;
      ledger.close();
    },
  };
}
