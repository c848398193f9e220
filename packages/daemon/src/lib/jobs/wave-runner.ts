/**
 * Carries out maintenance waves. Every order is written to a ledger first, so that a successor knows
 * which orders may still take effect.
 */
import type { FleetInstance, WaveOrder } from 'vanilladock/lib/ports/fleet.js';
import { planWave, type WaveStep, type WorkerContent } from 'vanilladock/lib/waves/plan-wave.js';
import type { FleetDuty } from './fleet-runner.js';
import type { WaveLedger } from './wave-ledger.js';

/** What the duty remembers of one wave. */
interface WaveMemory {
  readonly emptyingSinceMs: Map<string, number>;
  /** Contents of workers by id, as told since the last plan. */
  contents: Map<string, WorkerContent>;
  readonly held: Set<string>;
  published: 'none' | 'running' | 'completed';
}

/** Runs waves. */
export interface WaveRunner {
  readonly run: (instances: ReadonlyMap<string, FleetInstance>) => Promise<void>;
  /** Instances that waves are emptying or have taken down. */
  readonly listHeld: () => ReadonlySet<string>;
}

/** Creates the runner of all waves. */
export function createWaveRunner(duty: FleetDuty, ledger: WaveLedger): WaveRunner {
  const {
    fleet,
    config,
    waves,
    publishWave,
    gateway,
    lifeEnds,
    log,
    takeFence,
    handleLoss,
    isStopped,
  } = duty;
  const memories = new Map<number, WaveMemory>();

  const getMemory = (wave: number): WaveMemory => {
    const known = memories.get(wave);
    if (known !== undefined) return known;
    const made: WaveMemory = {
      emptyingSinceMs: new Map(),
      contents: new Map(),
      held: new Set(),
      published: ledger.isCompleted(wave) ? 'completed' : 'none',
    };
    memories.set(wave, made);
    return made;
  };
  const write = async (order: WaveOrder, id: string, step: WaveStep): Promise<boolean> => {
    const outcome = await ledger.write(order.wave, id, step);
    if (outcome === 'lost') handleLoss('ledger-fenced');
    return outcome === 'stored';
  };
  const drainInstance = async (memory: WaveMemory, instance: FleetInstance) => {
    const { id, pool, workerId } = instance;
    if (workerId === undefined) return;
    if (!memory.emptyingSinceMs.has(id)) memory.emptyingSinceMs.set(id, performance.now());
    const reply = await gateway.answerOnce({ kind: 'evacuate', pool, workerId });
    if (reply.kind === 'content') memory.contents.set(workerId, reply);
  };
  const takeDown = async (
    order: WaveOrder,
    instance: FleetInstance,
    content: WorkerContent | undefined,
  ) => {
    const { id, pool, workerId } = instance;
    if (!(await write(order, id, { kind: 'ordered', atMs: performance.now() }))) return;
    const fence = takeFence();
    const outcome = await fleet.maintainInstance(id, order.wave, fence);
    log.info({
      event: 'maintenance-order',
      wave: order.wave,
      instance: id,
      pool,
      worker: workerId,
      token: fence.token,
      content,
      outcome,
    });
    switch (outcome.kind) {
      case 'done':
        lifeEnds.add(instance);
        await write(order, id, { kind: 'begun', atMs: performance.now() });
        return;
      case 'rejected':
        if (outcome.why === 'fenced') handleLoss('fleet-fenced');
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
    const { contents } = memory;
    const plan = planWave({
      order,
      instances,
      steps: ledger.listSteps(order.wave),
      contents,
      emptyingSinceMs: memory.emptyingSinceMs,
      standbyPools: new Set(standby.map((pool) => pool.name)),
      nowMs: performance.now(),
    });
    memory.held.clear();
    memory.contents = new Map();
    [...memory.emptyingSinceMs.keys()]
      .filter((id) => !plan.empty.includes(id))
      .forEach((id) => memory.emptyingSinceMs.delete(id));
    [...plan.empty, ...plan.takeDown].forEach((id) => memory.held.add(id));
    const find = (id: string) => instances.get(id);
    for (const id of plan.finished) await write(order, id, { kind: 'done' });
    const toEmpty = plan.empty.map(find).filter((found) => found !== undefined);
    const toTakeDown = plan.takeDown.map(find).filter((found) => found !== undefined);
    await Promise.all(
      toTakeDown.map((instance) =>
        takeDown(order, instance, contents.get(instance.workerId ?? '')),
      ),
    );
    if (isStopped()) return;
    await Promise.all(toEmpty.map((instance) => drainInstance(memory, instance)));
    const state = plan.isComplete ? 'completed' : 'running';
    if (memory.published === state || !(await publishWave(order, state))) return;
    log.info({ event: 'wave-status', wave: order.wave, state });
    memory.published = state;
    if (state === 'completed') await ledger.complete(order.wave);
  };
  return {
    run: async (instances) => {
      const open = [...waves.value.values()].filter(
        (order) => getMemory(order.wave).published !== 'completed',
      );
      for (const order of open) if (!isStopped()) await runWave(order, instances);
    },
    listHeld: () => new Set([...memories.values()].flatMap((memory) => [...memory.held])),
  };
}
