/**
 * Stand-in for a minion, after PROTOCOL.md, "Running work items": it registers itself in the store,
 * starts and stops work items under a lease, and lists what runs and what has ended.
 */
import { startServer, wait } from './http.mjs';

const HEARTBEAT_MS = 1_500;
const MAX_HOLD_MS = 10_000;
const TICK_MS = 10;

/**
 * Starts a minion. `findWork(task)` says what a work item takes: `{ ms, cpu, mem_mb }`, where `ms`
 * is `Infinity` for one that lasts. `filterCall(call)` may return an answer instead of the minion's
 * own, `undefined` for its own, or `'silent'` for none.
 */
export async function startMinion(options) {
  const { store, service, labels, capacity, findWork, log, id, machine } = options;
  const { guards = true, stopGraceMs = 300, filterCall = () => undefined, port } = options;
  const born = Date.now();
  const startedMs = performance.now();
  let fence = 0;
  let leaseUntilMs = 0;
  let endCount = 0;
  let finished = [];
  let isUp = true;
  let isMute = false;
  let hasNextLife = false;
  let sequence = 0;
  const runs = new Map();
  const endedRuns = new Map();
  const readClock = () => Math.round(performance.now() - startedMs);
  const record = (what, fields) => log({ minion: id, machine, what, ...fields });

  const end = (run, how) => {
    runs.delete(run.task);
    endedRuns.set(run.task, Math.max(endedRuns.get(run.task) ?? 0, run.run));
    endCount += 1;
    finished.push([endCount, run.task, run.run, how, '']);
    record(how, { task: run.task, run: run.run });
  };
  const tick = () => {
    const nowMs = performance.now();
    [...runs.values()].forEach((run) => {
      if (run.stopAtMs <= nowMs) end(run, 'stopped');
      else if (run.endAtMs <= nowMs) end(run, run.how);
      else if (readClock() > leaseUntilMs) end(run, 'lapsed');
    });
  };
  const checkFence = (order) => {
    tick();
    const token = order.fencing_token ?? 0;
    if (token < fence) return { status: 409, body: { clock_ms: readClock(), reason: 'fence' } };
    fence = token;
    return undefined;
  };
  const extend = (order) => {
    const limitMs = readClock() + MAX_HOLD_MS;
    leaseUntilMs = Math.max(leaseUntilMs, Math.min(order.deadline_ms ?? 0, limitMs));
  };
  const sum = (field) => [...runs.values()].reduce((total, run) => total + run.work[field], 0);
  const reject = (reason) => ({ status: 409, body: { clock_ms: readClock(), reason } });
  const start = (order, isLate = false) => {
    const fenced = checkFence(order);
    if (fenced !== undefined) return fenced;
    const { task, run } = order;
    if (runs.get(task)?.run === run) return { status: 200, body: { clock_ms: readClock() } };
    if (run <= Math.max(endedRuns.get(task) ?? 0, runs.get(task)?.run ?? 0)) {
      extend(order);
      return reject('old');
    }
    if (order.deadline_ms <= readClock()) return reject('late');
    extend(order);
    const work = findWork(task);
    const isOver =
      sum('cpu') + work.cpu > capacity.cpu || sum('mem_mb') + work.mem_mb > capacity.mem_mb;
    if (isOver && guards) return reject('room');
    const nowMs = performance.now();
    runs.set(task, {
      task,
      run,
      work,
      startedMs: nowMs,
      endAtMs: nowMs + work.ms,
      how: work.how ?? 'done',
      stopAtMs: Infinity,
    });
    record('started', {
      task,
      run,
      token: order.fencing_token,
      late: isLate,
      cpu: sum('cpu'),
      of: capacity.cpu,
      over: isOver,
    });
    return { status: 200, body: { clock_ms: readClock() } };
  };
  const stop = (order) => {
    const fenced = checkFence(order);
    if (fenced !== undefined) return fenced;
    const run = runs.get(order.task);
    if (run !== undefined && run.run <= order.run) {
      run.stopAtMs = Math.min(run.stopAtMs, performance.now() + stopGraceMs);
    } else {
      endedRuns.set(order.task, Math.max(endedRuns.get(order.task) ?? 0, order.run));
    }
    record('stop-ordered', { task: order.task, run: order.run });
    return { status: 200, body: { clock_ms: readClock() } };
  };
  const hold = async (order) => {
    const fenced = checkFence(order);
    if (fenced !== undefined) return fenced;
    extend(order);
    finished = finished.filter(([number]) => number > order.last_seen);
    const untilMs = performance.now() + Math.min(order.wait_ms ?? 0, 2_000);
    while (isUp && finished.length === 0 && performance.now() < untilMs) {
      await wait(TICK_MS);
      tick();
    }
    const nowMs = performance.now();
    const running = [...runs.values()].map(({ task, run, startedMs: sinceMs, endAtMs }) => {
      const share =
        endAtMs === Infinity ? (nowMs - sinceMs) / 500 : (nowMs - sinceMs) / (endAtMs - sinceMs);
      return [task, run, '', Math.min(100, Math.floor(share * 100)), 0];
    });
    const body = { clock_ms: readClock(), born, running, finished: finished.slice(0, 500) };
    return { status: 200, body };
  };
  const handle = async (message) => {
    if (!isUp || isMute) return undefined;
    if (message.path === '/health') return { status: 200 };
    if (message.headers['vanilladock-expect-instance'] !== id) return { status: 421 };
    const order = JSON.parse(message.body.toString());
    const other = filterCall(message.path, order, { start, stop });
    if (other === 'silent') return undefined;
    if (other !== undefined) return other;
    if (message.path === '/run-start') return start(order);
    if (message.path === '/run-stop') return stop(order);
    if (message.path === '/hold') return hold(order);
    if (message.path === '/pace') return { status: 200, body: { clock_ms: readClock() } };
    return { status: 404 };
  };
  const server = await startServer(async (message) => {
    const answer = await handle(message);
    return isMute ? undefined : answer;
  }, port);
  const writeEntry = () => {
    sequence += 1;
    const entry = {
      service,
      address: server.address,
      zone: 'derwent',
      version: 'v1',
      slots: 8,
      state: 'ready',
      cold_remaining_ms: 0,
      capacity: { ...capacity, gpu: 0 },
      labels,
      machine,
      born,
      clock_ms: readClock(),
      sequence,
    };
    store.write('keyed.servers', id, JSON.stringify(entry));
  };
  const ticker = setInterval(tick, TICK_MS);
  writeEntry();
  const beat = setInterval(writeEntry, HEARTBEAT_MS);
  return {
    id,
    machine,
    address: server.address,
    port: Number(server.address.split(':')[1]),
    isUp: () => isUp,
    listRuns: () => [...runs.values()],
    /** Crashes: nothing runs any more, nothing is answered; the entry goes three beats later. */
    crash: () => {
      if (!isUp) return;
      isUp = false;
      clearInterval(beat);
      clearInterval(ticker);
      record('crashed', { lost: [...runs.keys()] });
      runs.clear();
      server.close();
      const dropEntry = () => !hasNextLife && store.write('keyed.servers', id, undefined);
      setTimeout(dropEntry, 3 * HEARTBEAT_MS).unref();
    },
    /** To be called when a later life under the same id has begun, whose entry stays. */
    observeNextLife: () => {
      hasNextLife = true;
    },
    /** Answers nothing and takes no order for a time, while it runs on and registers itself. */
    mute: (ms) => {
      isMute = true;
      record('mute', { ms, running: [...runs.keys()] });
      setTimeout(() => {
        isMute = false;
        if (isUp) record('answers-again', { running: [...runs.keys()] });
      }, ms).unref();
    },
    close: () => {
      isUp = false;
      clearInterval(beat);
      clearInterval(ticker);
      server.close();
    },
  };
}
