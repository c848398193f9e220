/**
 * Watches for workers that crash, and records each crash for the tasks that ran there: as possible
 * once a worker has not answered twice, as confirmed when its incarnation has ended without an
 * order, and not at all if it answers again.
 */
import { closeJob, listStepTasks } from '../apply-ends.js';
import {
  classifyCrash,
  decideGiveUp,
  isMassLoss,
  dropSuspicion,
  isSuspect,
  isTelling,
  LONG_RUN_MS,
  PROVEN_RUN_MS,
  type CrashRecord,
} from './crash-evidence.js';
import { isCrashUnderRun, type GoneSign } from './crash-moment.js';
import { createCrashRecords } from './crash-records.js';
import { makeIncarnationKey, type Incarnation } from '../ended-incarnations.js';
import type { InheritedRuns } from '../inherited-runs.js';
import { createMachineCrashes, getMachine } from './machine-crashes.js';
import type { WorkerEntry } from '../../ports/task-workers.js';
import type { PoolContext } from '../pool-context.js';
import type { Moment, Task, Worker } from '../state.js';
import type { ToldCrashes } from './told-crashes.js';
import { createWorkerSilences, type Silence, type SilencedRun } from './worker-silences.js';

/** How an incarnation has ended. */
export interface IncarnationEnd {
  /** Whether an order for its instance was carried out. */
  readonly isOrdered: boolean;
  /** Whether the next incarnation has the id of the worker, and may have accepted its last starts. */
  readonly isSameId: boolean;
}

/** Watch over the workers of a pool. */
export interface CrashWatch {
  /** Indexes the crashes that were stored with a job; possible ones may still be confirmed. */
  readonly observeLoadedJob: (jobId: string, at: Moment) => void;
  /** Returns since when a worker's incarnation does not answer; undefined if it answers. */
  readonly findSilentMs: (worker: Worker) => number | undefined;
  /**
   * Records that a worker has not answered; from the second time on it may have crashed. `isRefused`:
   * its address refused the connection.
   */
  readonly observeSilence: (worker: Worker, at: Moment, isRefused: boolean) => void;
  /** Records that an incarnation answers. */
  readonly observeAnswer: (entry: WorkerEntry) => void;
  /**
   * Drops the possible crash of an incarnation that an order has ended, so that no successor, which
   * does not know of the order, confirms it.
   */
  readonly observeOrderedEnd: (entry: WorkerEntry) => void;
  /**
   * Clears the tasks that have gone on for long enough on a worker that has just reported of being
   * suspect, and drops the crashes of those that have gone on for long.
   */
  readonly dropDisproved: (worker: Worker, nowMs: number) => void;
  /** Records that a worker's incarnation has ended; to be called while its runs are assigned. */
  readonly observeEnd: (worker: Worker, at: Moment, end: IncarnationEnd) => void;
  /** Records a new incarnation, which shows that an earlier one on its machine has ended. */
  readonly observeEntry: (entry: WorkerEntry, at: Moment) => void;
  /** Says whether a machine has crashed lately without runs of a job. */
  readonly hasCrashedWithout: (entry: WorkerEntry, jobId: string, nowMs: number) => boolean;
  /** Lists the crashes of which the next planner is told. */
  readonly listCrashes: (nowMs: number) => ToldCrashes;
  /** Applies the crashes that the preceding planner has told, as of `atMs`. */
  readonly observeTold: (crashes: ToldCrashes, atMs: number) => void;
  /** Ends the jobs that are to be given up by what was recorded since the last call. */
  readonly giveUpJobs: (at: Moment) => void;
}

/** Number of runs that one line of the log names. */
const MAX_LOGGED_RUNS = 24;

/** Creates the watch of a pool. */
export function createCrashWatch(context: PoolContext, inheritedRuns: InheritedRuns): CrashWatch {
  const { table, report } = context;
  const records = createCrashRecords(context);
  const { setCrashes, updateRecords, dropOtherSuspicions } = records;
  const silences = createWorkerSilences(context, inheritedRuns);
  const machineCrashes = createMachineCrashes();
  /** Incarnations that may have crashed, by machine. */
  const possibleByMachine = new Map<string, readonly Incarnation[]>();
  const addRecords = (worker: Worker, silence: Silence, isEnded: boolean, nowMs: number) => {
    const { id: workerId, bornMs } = worker.entry;
    const machine = getMachine(worker.entry);
    const isMass = isMassLoss(silences.countCoincident(silence), silences.hasCommonJob(silence));
    silence.runs.forEach((run) => {
      const suspicion = classifyCrash(run.aliveMs, isMass);
      const task = table.findTask(run.taskKey);
      if (suspicion === undefined || task === undefined || task.state.kind === 'done') return;
      const isKnown = task.crashes.some(
        (known) => known.workerId === workerId && known.bornMs === bornMs,
      );
      if (isKnown) return;
      const record: CrashRecord = {
        workerId,
        bornMs,
        machine,
        isConfirmed: isEnded && run.isConfirmed,
        ...(run.isConfirmed ? undefined : { isStartUnknown: true }),
        ...(isCrashUnderRun(silence, run.aliveMs, table.findStep(task))
          ? undefined
          : { isMomentUnknown: true }),
        suspicion,
        isAlone:
          silence.possibleCauses.size === 1 &&
          silence.possibleCauses.has(run.jobId) &&
          !machineCrashes.hasCrashedWithout(machine, run.jobId, nowMs, records.hasSuspect),
        atMs: nowMs,
      };
      records.add(run.taskKey, record);
      setCrashes(task, [...task.crashes, record]);
      if (isTelling(record)) dropOtherSuspicions(task);
    });
  };
  const dropPossible = (machine: string, isDropped: (possible: Incarnation) => boolean) => {
    const retained = (possibleByMachine.get(machine) ?? []).filter((known) => !isDropped(known));
    if (retained.length === 0) possibleByMachine.delete(machine);
    else possibleByMachine.set(machine, retained);
  };
  const addPossible = (machine: string, { id, bornMs }: Incarnation) => {
    dropPossible(machine, (known) => known.id === id && known.bornMs === bornMs);
    const known = possibleByMachine.get(machine) ?? [];
    possibleByMachine.set(machine, [...known, { id, bornMs }]);
  };
  /** Records when an incarnation was found to be gone; returns its silence, if it was silent. */
  const recordGone = (incarnation: Incarnation, sign: GoneSign, nowMs: number) => {
    const silence = silences.recordGone(incarnation, sign, nowMs);
    const ages = new Map(silence?.runs.map(({ taskKey, aliveMs }) => [taskKey, aliveMs]));
    records.updateMoments(makeIncarnationKey(incarnation.id, incarnation.bornMs), (task) => {
      const aliveMs = ages.get(task.key);
      if (silence === undefined || aliveMs === undefined) return false;
      return isCrashUnderRun(silence, aliveMs, table.findStep(task));
    });
    return silence;
  };
  const updateToConfirmed = ({ id, bornMs }: Incarnation, nowMs: number) =>
    updateRecords(makeIncarnationKey(id, bornMs), (record) =>
      record.isConfirmed || record.isStartUnknown === true
        ? record
        : { ...record, isConfirmed: true, atMs: nowMs },
    );
  const dropUnconfirmed = ({ id, bornMs }: Incarnation) => {
    updateRecords(makeIncarnationKey(id, bornMs), (record) =>
      record.isConfirmed ? record : undefined,
    );
  };
  const logCrash = ({ entry }: Worker, silence: Silence, nowMs: number) => {
    const runs = [...silence.runs].sort((a, b) => a.aliveMs - b.aliveMs);
    report({
      event: 'worker-crashed',
      worker: entry.id,
      bornMs: entry.bornMs,
      instance: entry.instance,
      rack: entry.rack,
      silentForMs: Math.round(nowMs - silence.atMs),
      goneAfterMs: Math.round((silence.refusedMs ?? nowMs) - silence.lastSignMs),
      coincident: silences.countCoincident(silence),
      runs: runs.slice(0, MAX_LOGGED_RUNS).map(({ taskKey, run, aliveMs }) => ({
        task: taskKey,
        run,
        aliveMs,
        crashes: table.findTask(taskKey)?.crashes.length,
      })),
      moreRuns: Math.max(0, runs.length - MAX_LOGGED_RUNS),
    });
  };
  /** Collects the crashes of a task; a gang shares those of its members. */
  const listCrashes = (task: Task): readonly CrashRecord[] => {
    if (!table.findStep(task).isGang) return task.crashes;
    const byCrash = new Map(
      listStepTasks(context, task)
        .flatMap(({ crashes }) => crashes)
        .sort((a, b) => Number(b.isMomentUnknown === true) - Number(a.isMomentUnknown === true))
        .map((record) => [makeIncarnationKey(record.workerId, record.bornMs), record] as const),
    );
    return [...byCrash.values()].sort((a, b) => a.atMs - b.atMs);
  };
  const giveUpJob = (task: Task, crashes: readonly CrashRecord[], at: Moment) => {
    const why = decideGiveUp(crashes);
    if (why === undefined) return false;
    closeJob(context, task.jobId, 'failed', at);
    machineCrashes.dropExplained(task.jobId);
    const clearedTasks = dropOtherSuspicions(task);
    report({
      event: 'job-given-up',
      job: task.jobId,
      task: task.key,
      why,
      crashes: crashes.map(({ atMs, ...record }) => ({
        ...record,
        agoMs: Math.round(at.nowMs - atMs),
      })),
      clearedTasks,
    });
    return true;
  };
  return {
    observeLoadedJob: (jobId, { nowMs }) => {
      const suspects = table.listJobTasks(jobId).filter(({ crashes }) => crashes.length > 0);
      suspects.forEach((task) => {
        const crashes = task.crashes.map((record) => ({ ...record, atMs: nowMs }));
        table.moveTask(task, task.state, { crashes });
        crashes.forEach((record) => {
          const { workerId: id, bornMs, machine, isConfirmed } = record;
          records.add(task.key, record);
          if (!isConfirmed && bornMs !== 0) addPossible(machine, { id, bornMs });
        });
      });
      if (suspects.length > 0) records.recordChange(jobId);
    },
    findSilentMs: ({ entry, missedReports }) =>
      missedReports === 0 ? undefined : silences.find(entry.id, entry.bornMs)?.atMs,
    observeSilence: (worker, { nowMs }, isRefused) => {
      const { id, bornMs } = worker.entry;
      const told = worker.clock === undefined ? inheritedRuns.find(id, bornMs) : undefined;
      const wasToldSilent = told?.silentAgoMs !== undefined;
      const isKnown = wasToldSilent || silences.find(id, bornMs) !== undefined;
      const added = silences.add(worker, nowMs);
      if (added.isEndPlanned || added.isSettled || added.runs.length === 0) return;
      if (isRefused) recordGone(worker.entry, 'refused', nowMs);
      const silence = silences.find(id, bornMs);
      if (!isKnown || silence === undefined) return;
      addPossible(getMachine(worker.entry), worker.entry);
      addRecords(worker, silence, false, nowMs);
    },
    observeAnswer: (entry) => {
      silences.drop(entry.id, entry.bornMs);
      dropUnconfirmed(entry);
    },
    observeOrderedEnd: dropUnconfirmed,
    dropDisproved: ({ tasks }, nowMs) => {
      if (table.crashedTaskKeys.size === 0) return;
      tasks.forEach((key) => {
        const task = table.crashedTaskKeys.has(key) ? table.findTask(key) : undefined;
        if (task === undefined || task.state.kind !== 'assigned') return;
        const aliveMs = nowMs - (task.state.confirmedMs ?? nowMs);
        if (aliveMs >= LONG_RUN_MS) setCrashes(task, []);
        else if (aliveMs >= PROVEN_RUN_MS && isSuspect(task)) {
          setCrashes(task, task.crashes.map(dropSuspicion));
        }
      });
    },
    observeEnd: (worker, { nowMs }, { isOrdered, isSameId }) => {
      const { entry } = worker;
      const wasSilent = silences.find(entry.id, entry.bornMs) !== undefined;
      const added = silences.add(worker, nowMs);
      if (added.isSettled) return;
      silences.recordSettled(entry.id, entry.bornMs);
      const isKnownRun = ({ isReported }: SilencedRun) => isReported || wasSilent || !isSameId;
      const silence = { ...added, runs: added.runs.filter(isKnownRun) };
      dropPossible(getMachine(entry), ({ bornMs }) => bornMs <= entry.bornMs);
      records.dropSettled();
      if (isOrdered || silence.isEndPlanned) {
        updateRecords(makeIncarnationKey(entry.id, entry.bornMs), () => undefined);
        return;
      }
      const { replacedMs } = recordGone(entry, 'replaced', nowMs) ?? added;
      addRecords(worker, { ...silence, replacedMs }, true, nowMs);
      updateToConfirmed(entry, nowMs);
      const jobIds = new Set([...silence.runs.map(({ jobId }) => jobId), ...added.possibleCauses]);
      const incarnation = makeIncarnationKey(entry.id, entry.bornMs);
      machineCrashes.add({ machine: getMachine(entry), incarnation, jobIds: [...jobIds] }, nowMs);
      if (silence.runs.length > 0) logCrash(worker, silence, nowMs);
    },
    observeEntry: (entry, { nowMs }) => {
      const machine = getMachine(entry);
      const isEarlier = ({ bornMs }: Incarnation) => bornMs < entry.bornMs;
      const possible = possibleByMachine.get(machine)?.filter(isEarlier) ?? [];
      dropPossible(machine, isEarlier);
      possible.forEach((incarnation) => {
        recordGone(incarnation, 'replaced', nowMs);
        updateToConfirmed(incarnation, nowMs);
      });
    },
    hasCrashedWithout: (entry, jobId, nowMs) =>
      machineCrashes.hasCrashedWithout(getMachine(entry), jobId, nowMs),
    listCrashes: (nowMs) => ({
      incarnations: records.listAges(nowMs),
      machines: machineCrashes.list(nowMs),
    }),
    observeTold: ({ incarnations, machines }, atMs) => {
      incarnations.forEach(({ id, bornMs, agoMs }) =>
        records.setRecordedMs(makeIncarnationKey(id, bornMs), atMs - agoMs),
      );
      machineCrashes.addTold(machines, atMs);
    },
    giveUpJobs: (at) => {
      records.takeChangedJobs().forEach((jobId) => {
        if (!table.activeJobs.has(jobId)) return;
        table
          .listJobTasks(jobId)
          .filter((task) => task.crashes.length > 0 && task.state.kind !== 'done')
          .some((task) => giveUpJob(task, listCrashes(task), at));
      });
    },
  };
}
