/**
 * A simulated worker of the placement machine: it times leases on its own clock, rejects superseded
 * planners and may be paused.
 */
import { findPlacementDuty } from '../lib/placement/duty.js';
import type { TaskReport, WorkerCommand, WorkerReport } from '../lib/ports/workers.js';
import { makeSize } from './placement-fixtures.js';

/** The pool of the placement machine and the duty to plan it. */
export const POOL = 'p';
export const DUTY = findPlacementDuty(POOL);

/** Time for which a lease holds from the report that it names, in milliseconds. */
export const LEASE_MS = 10_000;

/** Creates a worker that times leases on its own clock and rejects superseded planners. */
export const createFakeWorker = (id: string) => {
  const reportTimes = new Map<string, number>();
  const tasks = new Map<number, { report: TaskReport; untilMs: number; cores: number }>();
  const used = new Set<number>();
  let fence = -1;
  let isPaused = false;
  const listRunning = (nowMs: number) =>
    [...tasks.values()].filter(({ report, untilMs }) => {
      return report.phase === 'running' && untilMs > nowMs;
    });
  const closeLapsed = (nowMs: number): void => {
    tasks.forEach((task, token) => {
      if (task.report.phase !== 'running' || task.untilMs > nowMs) return;
      tasks.set(token, { ...task, report: { ...task.report, phase: 'lapsed' } });
    });
  };
  const setPhase = (token: number, phase: TaskReport['phase']): void => {
    const task = tasks.get(token);
    if (task?.report.phase !== 'running') return;
    tasks.set(token, { ...task, report: { ...task.report, phase } });
  };
  return {
    apply: (command: WorkerCommand, nowMs: number): void => {
      closeLapsed(nowMs);
      const { plannerFence, reportId } = command.kind === 'renew-worker' ? command : command.lease;
      if (isPaused || plannerFence < fence) return;
      fence = plannerFence;
      const untilMs = (reportTimes.get(reportId) ?? -Infinity) + LEASE_MS;
      if (command.kind === 'renew-worker') {
        command.settled.forEach((token) => tasks.delete(token));
        tasks.forEach((task, token) => {
          tasks.set(token, { ...task, untilMs: Math.max(task.untilMs, untilMs) });
        });
        return;
      }
      const { taskId, fencingToken } = command.lease;
      if (command.kind === 'stop') {
        setPhase(fencingToken, 'stopped');
        return;
      }
      if (command.kind === 'checkpoint') setPhase(fencingToken, 'checkpointed');
      if (command.kind !== 'start' || used.has(fencingToken) || untilMs <= nowMs) return;
      used.add(fencingToken);
      const usage = makeSize(0.5);
      const report = { taskId, fencingToken, phase: 'running', used: usage, share: 1 } as const;
      tasks.set(fencingToken, { report, untilMs, cores: command.size.cores });
    },
    report: (nowMs: number): WorkerReport | undefined => {
      if (isPaused) return undefined;
      closeLapsed(nowMs);
      const reportId = `${id}/${reportTimes.size}`;
      reportTimes.set(reportId, nowMs);
      const reports = [...tasks.values()].map(({ report }) => report);
      return { reportId, plannerFences: { [DUTY]: fence }, tasks: reports };
    },
    finish: (phase: 'succeeded' | 'failed', nowMs: number): void => {
      const running = [...tasks].find(([, task]) => listRunning(nowMs).includes(task));
      if (running !== undefined && !isPaused) setPhase(running[0], phase);
    },
    setPaused: (paused: boolean): void => {
      isPaused = paused;
    },
    listRunning,
  };
};
