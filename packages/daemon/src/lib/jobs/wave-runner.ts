/**
 * Carries out maintenance waves. Every order is written to a journal first, so that a successor
 * knows which orders may still take effect.
 */
import type { FleetInstance, WaveOrder } from 'vanilladock/lib/ports/fleet.js';
import { planWave, type WaveStep, type WorkerTasks } from 'vanilladock/lib/waves/plan-wave.js';
import type { FleetDuty } from './fleet-runner.js';
import type { WaveJournal } from './wave-journal.js';

/** State of one wave that is kept in memory. */
interface WaveMemory {
  /** Monotonic time at which each instance began to drain, by instance id. */
  readonly drainingSinceMs: Map<string, number>;
  /** Tasks left on each draining worker, as reported since the last plan. */
  contents: Map<string, WorkerTasks>;
  /** Instances that the wave is draining or has taken down. */
  readonly held: Set<string>;
  published: 'none' | 'running' | 'completed';
}

/** Runner of all waves under one claim. */
export interface WaveRunner {
  /** Runs one round of every open wave over the listed instances, which are by id. */
  readonly run: (instances: ReadonlyMap<string, FleetInstance>) => Promise<void>;
  /** Lists the ids of instances that waves drain or have taken down, as of their last rounds. */
  readonly listHeld: () => ReadonlySet<string>;
}

/** Creates the runner of all waves. */
export function createWaveRunner(duty: FleetDuty, journal: WaveJournal): WaveRunner {
  const {
    fleet,
    config,
    waves,
    publishWave,
    gateway,
    incarnationEnds,
    log,
    takeFence,
    handleLoss,
    isStopped,
  } = duty;
  const memories = new Map<number, WaveMemory>();

  const getMemory = (wave: number): WaveMemory => {
    const existing = memories.get(wave);
    if (existing !== undefined) return existing;
    const memory: WaveMemory = {
      drainingSinceMs: new Map(),
      contents: new Map(),
      held: new Set(),
      published: journal.isCompleted(wave) ? 'completed' : 'none',
    };
    memories.set(wave, memory);
    return memory;
  };
  const writeStep = async (order: WaveOrder, id: string, step: WaveStep): Promise<boolean> => {
    const outcome = await journal.write(order.wave, id, step);
    if (outcome === 'lost') handleLoss('ledger-fenced');
    return outcome === 'stored';
  };
  const drainInstance = async (memory: WaveMemory, instance: FleetInstance) => {
    const { id, pool, workerId } = instance;
    if (workerId === undefined) return;
    if (!memory.drainingSinceMs.has(id)) memory.drainingSinceMs.set(id, performance.now());
    const reply = await gateway.answerOnce({ kind: 'evacuate', pool, workerId });
    if (reply.kind === 'content') memory.contents.set(workerId, reply);
  };
  const startMaintenance = async (
    order: WaveOrder,
    instance: FleetInstance,
    content: WorkerTasks | undefined,
  ) => {
    const { id, pool, workerId } = instance;
    if (!(await writeStep(order, id, { kind: 'ordered', atMs: performance.now() }))) return;
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
        incarnationEnds.add(instance);
        await writeStep(order, id, { kind: 'begun', atMs: performance.now() });
        return;
      case 'rejected':
        if (outcome.why === 'fenced') handleLoss('fleet-fenced');
        else if (outcome.why === 'busy') await journal.clear(order.wave, id);
        else await writeStep(order, id, { kind: 'done' });
        return;
      case 'refused':
        await journal.clear(order.wave, id);
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
      steps: journal.listSteps(order.wave),
      contents,
      drainingSinceMs: memory.drainingSinceMs,
      standbyPools: new Set(standby.map((pool) => pool.name)),
      nowMs: performance.now(),
    });
    memory.held.clear();
    memory.contents = new Map();
    [...memory.drainingSinceMs.keys()]
      .filter((id) => !plan.drain.includes(id))
      .forEach((id) => memory.drainingSinceMs.delete(id));
    [...plan.drain, ...plan.takeDown].forEach((id) => memory.held.add(id));
    const findInstance = (id: string) => instances.get(id);
    for (const id of plan.finished) await writeStep(order, id, { kind: 'done' });
    const toDrain = plan.drain.map(findInstance).filter((found) => found !== undefined);
    const toTakeDown = plan.takeDown.map(findInstance).filter((found) => found !== undefined);
    await Promise.all(
      toTakeDown.map((instance) =>
        startMaintenance(order, instance, contents.get(instance.workerId ?? '')),
      ),
    );
    if (isStopped()) return;
    await Promise.all(toDrain.map((instance) => drainInstance(memory, instance)));
    const state = plan.isComplete ? 'completed' : 'running';
    if (memory.published === state || !(await publishWave(order, state))) return;
    log.info({ event: 'wave-status', wave: order.wave, state });
    memory.published = state;
    if (state === 'completed') await journal.complete(order.wave);
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
