/**
 * Model checker for the hand-over of a pool: an older and a newer owner, two workers and one task.
 * The search covers every order of events up to a time limit, including delayed orders, worker
 * restarts that lose all known tokens, and network partitions of any length (modelled as steps not
 * taken). Each guard can be omitted to show which fault it prevents.
 */

/** Guards that a search can omit. */
export type Guard =
  /** The older owner sends orders only for a limited time after its claim was confirmed. */
  | 'authority'
  /** The newer owner relies on worker reports only after that time is over. */
  | 'succession'
  /** The newer owner waits for the leases of workers that have not reported yet. */
  | 'leases'
  /** Workers reject orders with an older token than the newest they have seen. */
  | 'fence'
  /** Workers reject starts whose lease has expired. */
  | 'late';

/** Result of a search. */
export interface OwnershipResult {
  readonly states: number;
  /** Steps to the first state in which the task runs twice; undefined if there is none. */
  readonly fault: readonly string[] | undefined;
}

type Owner = 'older' | 'newer';

interface WorkerState {
  readonly token: number;
  readonly life: number;
  /** End of the lease under which the task runs on this worker; 0 when it does not run. */
  readonly leaseEnd: number;
}

interface Order {
  readonly owner: Owner;
  readonly worker: number;
  readonly life: number;
  readonly leaseEnd: number;
}

interface State {
  readonly now: number;
  readonly workers: readonly WorkerState[];
  readonly orders: readonly Order[];
  /** When the older owner's claim was last confirmed. */
  readonly confirmed: number;
  readonly olderRun:
    { readonly worker: number; readonly life: number; readonly leaseEnd: number } | undefined;
  /** When the newer owner claimed the pool. */
  readonly claimed: number | undefined;
  readonly reported: readonly boolean[];
  readonly newerWorker: number | undefined;
  readonly newerStarts: number;
}

const AUTHORITY = 1;
const SUCCESSION = 1;
const LEASE = 2;
const LAST_TICK = 5;
const MAX_ORDERS = 2;
const MAX_INCARNATIONS = 2;
const TOKENS: Readonly<Record<Owner, number>> = { older: 1, newer: 2 };
const WORKERS = [0, 1];

const setAt = <T>(list: readonly T[], index: number, item: T): readonly T[] =>
  list.map((known, position) => (position === index ? item : known));

const isRunning = (worker: WorkerState, now: number) => worker.leaseEnd > now;

type Step = readonly [string, State];

const listOlderSteps = (state: State, omitted: Guard | undefined): readonly Step[] => {
  const { now, workers, olderRun } = state;
  const mayOrder = omitted === 'authority' || now < state.confirmed + AUTHORITY;
  const steps: Step[] = [];
  if (state.claimed === undefined && state.confirmed < now) {
    steps.push(['older is confirmed', { ...state, confirmed: now }]);
  }
  const hasLeaseExpired = olderRun !== undefined && olderRun.leaseEnd <= now;
  if (hasLeaseExpired)
    steps.push(['older learns that the lease has expired', { ...state, olderRun: undefined }]);
  WORKERS.forEach((index) => {
    const worker = workers[index]!;
    if (worker.token > TOKENS.older || !mayOrder) return;
    const leaseEnd = now + LEASE;
    if (olderRun === undefined && state.orders.length < MAX_ORDERS) {
      const order = { owner: 'older', worker: index, life: worker.life, leaseEnd } as const;
      steps.push([
        `older starts at ${index}`,
        {
          ...state,
          orders: [...state.orders, order],
          olderRun: { worker: index, life: worker.life, leaseEnd },
        },
      ]);
    }
    if (olderRun?.worker === index && isRunning(worker, now) && leaseEnd > worker.leaseEnd) {
      steps.push([
        `older renews at ${index}`,
        {
          ...state,
          workers: setAt(workers, index, { ...worker, leaseEnd }),
          olderRun: { worker: index, life: worker.life, leaseEnd },
        },
      ]);
    }
    if (olderRun?.worker === index && olderRun.life < worker.life) {
      steps.push([`older learns that ${index} restarted`, { ...state, olderRun: undefined }]);
    }
  });
  return steps;
};

const listNewerSteps = (state: State, omitted: Guard | undefined): readonly Step[] => {
  const { now, workers, claimed, reported } = state;
  if (claimed === undefined) return [['newer claims', { ...state, claimed: now }]];
  const steps: Step[] = [];
  const isSuccessionOver = omitted === 'succession' || now >= claimed + SUCCESSION;
  const haveLeasesExpired = omitted === 'leases' || now >= claimed + SUCCESSION + LEASE;
  const mayStart = reported.every(Boolean) || haveLeasesExpired;
  WORKERS.forEach((index) => {
    const worker = workers[index]!;
    const runsHere = isRunning(worker, now);
    const isFirstReport = isSuccessionOver && !reported[index];
    if (isFirstReport || worker.token < TOKENS.newer) {
      const runningWorker = runsHere ? index : state.newerWorker;
      const isLost = state.newerWorker === index && !runsHere;
      steps.push([
        `newer receives the report of ${index}`,
        {
          ...state,
          workers: setAt(workers, index, { ...worker, token: TOKENS.newer }),
          reported: setAt(reported, index, isSuccessionOver || reported[index] === true),
          newerWorker: isLost ? undefined : runningWorker,
        },
      ]);
    }
    const mayStartHere = mayStart && reported[index] && state.newerWorker === undefined;
    if (mayStartHere && state.newerStarts === 0 && state.orders.length < MAX_ORDERS) {
      const order = {
        owner: 'newer',
        worker: index,
        life: worker.life,
        leaseEnd: now + LEASE,
      } as const;
      steps.push([
        `newer starts at ${index}`,
        { ...state, orders: [...state.orders, order], newerWorker: index, newerStarts: 1 },
      ]);
    }
  });
  return steps;
};

const listEnvironmentSteps = (state: State, omitted: Guard | undefined): readonly Step[] => {
  const { now, workers, orders } = state;
  const steps: Step[] = [];
  if (now < LAST_TICK) steps.push([`time ${now + 1}`, { ...state, now: now + 1 }]);
  orders.forEach((order, position) => {
    const worker = workers[order.worker]!;
    const remaining = orders.filter((_, index) => index !== position);
    const isFenced = omitted !== 'fence' && TOKENS[order.owner] < worker.token;
    const isLate = omitted !== 'late' && order.leaseEnd <= now;
    const isVoid = isFenced || isLate || order.life !== worker.life;
    const leaseEnd = omitted === 'late' ? now + LEASE : order.leaseEnd;
    const token = Math.max(worker.token, TOKENS[order.owner]);
    const nextWorkers = isVoid
      ? workers
      : setAt(workers, order.worker, { ...worker, token, leaseEnd });
    steps.push([
      `order of ${order.owner} arrives at ${order.worker}`,
      { ...state, orders: remaining, workers: nextWorkers },
    ]);
  });
  WORKERS.forEach((index) => {
    const worker = workers[index]!;
    if (worker.life + 1 >= MAX_INCARNATIONS) return;
    const restarted = { token: 0, life: worker.life + 1, leaseEnd: 0 };
    steps.push([`${index} restarts`, { ...state, workers: setAt(workers, index, restarted) }]);
  });
  return steps;
};

const START: State = {
  now: 0,
  workers: WORKERS.map(() => ({ token: 1, life: 0, leaseEnd: 0 })),
  orders: [],
  confirmed: 0,
  olderRun: undefined,
  claimed: undefined,
  reported: WORKERS.map(() => false),
  newerWorker: undefined,
  newerStarts: 0,
};

/** Searches every order of events, optionally with one guard omitted. */
export function runOwnershipModel(omitted?: Guard): OwnershipResult {
  const parents = new Map<string, readonly [string, string] | undefined>();
  let frontier: readonly (readonly [string, State])[] = [[JSON.stringify(START), START]];
  parents.set(frontier[0]![0], undefined);
  const listPath = (key: string): readonly string[] => {
    const parent = parents.get(key);
    return parent === undefined ? [] : [...listPath(parent[0]), parent[1]];
  };
  while (frontier.length > 0) {
    const nextFrontier: (readonly [string, State])[] = [];
    for (const [key, state] of frontier) {
      const isRunningTwice = state.workers.every((worker) => isRunning(worker, state.now));
      if (isRunningTwice) return { states: parents.size, fault: listPath(key) };
      const steps = [
        ...listOlderSteps(state, omitted),
        ...listNewerSteps(state, omitted),
        ...listEnvironmentSteps(state, omitted),
      ];
      steps.forEach(([name, reached]) => {
        const reachedKey = JSON.stringify(reached);
        if (parents.has(reachedKey)) return;
        parents.set(reachedKey, [key, name]);
        nextFrontier.push([reachedKey, reached]);
      });
    }
    frontier = nextFrontier;
  }
  return { states: parents.size, fault: undefined };
}
