/**
 * Carries out maintenance waves. Every order is written to a journal first, so that a successor
 * knows which orders may still take effect.
 */
import type { FleetInstance, WaveOrder } from 'vanilladock/lib/ports/fleet.js';
import { isDrained, planWave, type WaveStep } from 'vanilladock/lib/waves/plan-wave.js';
import type { FleetDuty } from './fleet-runner.js';
import type { WaveJournal } from './wave-journal.js';

/** State of one wave that is kept in memory. */
interface WaveMemory {
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
    evacuations,
    incarnationEnds,
    log,
    takeFence,
    handleLoss,
    isStopped,
    mayOrder,
  } = duty;
  const memories = new Map<number, WaveMemory>();

  const getMemory = (wave: number): WaveMemory => {
    const existing = memories.get(wave);
    if (existing !== undefined) return existing;
    const memory: WaveMemory = {
      held: new Set(),
      published: journal.isCompleted(wave) ? 'completed' : 'none',
    };
    memories.set(wave, memory);
    return memory;
  };
  /** Lists the instances that ordered waves hold, without those of one wave if it is given. */
  const listHeld = (exceptWave?: number): ReadonlySet<string> =>
    new Set(
      [...memories]
        .filter(([wave]) => wave !== exceptWave && waves.value.has(wave))
        .flatMap(([, memory]) => [...memory.held]),
    );
  const writeStep = async (order: WaveOrder, id: string, step: WaveStep): Promise<boolean> => {
    const outcome = await journal.write(order.wave, id, step);
    if (outcome === 'lost') handleLoss('ledger-fenced');
    return outcome === 'stored';
  };
  const listStandbyPools = () => {
    const standby = config.value?.pools.filter((pool) => pool.isStandby) ?? [];
    return new Set(standby.map((pool) => pool.name));
  };
  const drainInstance = async ({ pool, workerId }: FleetInstance) => {
    if (workerId !== undefined) await evacuations.renew(pool, workerId);
  };
  /**
   * Renews the evacuation of an instance that is about to be taken down, as its tasks may have
   * changed since the plan; resolves to whether it is drained, and to the tasks that are left.
   */
  const checkDrained = async ({ pool, workerId }: FleetInstance) => {
    if (workerId === undefined || listStandbyPools().has(pool)) return { isReady: true };
    const evacuation = await evacuations.renew(pool, workerId);
    const isReady = evacuation !== undefined && isDrained(evacuation, performance.now());
    return { isReady, content: evacuation?.content };
  };
  const startMaintenance = async (order: WaveOrder, instance: FleetInstance) => {
    if (!mayOrder()) return;
    const { id, pool, workerId } = instance;
    const isRepeated = journal.listSteps(order.wave).has(id);
    /** Removes the step of an order that is not carried out, unless an earlier one still may be. */
    const dropStep = async () => {
      if (!isRepeated) await journal.clear(order.wave, id);
    };
    if (!(await writeStep(order, id, { kind: 'ordered', atMs: performance.now() }))) return;
    const { isReady, content } = await checkDrained(instance);
    if (isStopped()) return;
    if (!isReady || !mayOrder()) {
      await dropStep();
      return;
    }
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
        else if (outcome.why === 'busy') await dropStep();
        else await writeStep(order, id, { kind: 'done' });
        return;
      case 'refused':
        await dropStep();
        return;
      case 'unknown':
        return;
      default:
        outcome satisfies never;
    }
  };
  const runWave = async (order: WaveOrder, instances: ReadonlyMap<string, FleetInstance>) => {
    const memory = getMemory(order.wave);
    const nowMs = performance.now();
    const plan = planWave({
      order,
      instances,
      steps: journal.listSteps(order.wave),
      evacuations: evacuations.list(nowMs),
      heldByOthers: listHeld(order.wave),
      standbyPools: listStandbyPools(),
      nowMs,
    });
    memory.held.clear();
    [...plan.drain, ...plan.takeDown].forEach((id) => memory.held.add(id));
    const findInstance = (id: string) => instances.get(id);
    for (const id of plan.finished) await writeStep(order, id, { kind: 'done' });
    const toDrain = plan.drain.map(findInstance).filter((found) => found !== undefined);
    const toTakeDown = plan.takeDown.map(findInstance).filter((found) => found !== undefined);
    await Promise.all(toTakeDown.map((instance) => startMaintenance(order, instance)));
    if (isStopped()) return;
    await Promise.all(toDrain.map(drainInstance));
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
    listHeld: () => listHeld(),
  };
}
