/**
 * Stand-in for the platform's pool operations. `POST /operations` with
 * `{"operation", "instanceId", "permitId"}` drains, reboots or restores an instance. Each operation is
 * idempotent by its permit; once a permit's restore has run, its other operations are refused. A
 * drained instance is listed as leaving, a rebooting one is missing, and one that is back is live.
 */
import type { Instance } from 'vanilladock';
import type { InstanceServer } from './instance-server.js';
import {
  answerJson,
  readBody,
  startServer,
  type Handler,
  type RunningServer,
} from './json-server.js';

/** Operations on instances. */
export type PoolOperation = 'drain' | 'reboot' | 'restore';

/** One operation as it took effect. */
export interface PoolOperationEntry {
  readonly operation: PoolOperation;
  readonly instanceId: string;
  readonly permitId: string;
  /** Instances out of the list or draining when the operation took effect, itself included. */
  readonly unavailable: readonly string[];
}

/** Options of the stand-in. */
export interface PoolServerOptions {
  readonly rebootMs: number;
  /** Instances that do not come back from a reboot. */
  readonly broken?: ReadonlySet<string>;
}

/** A running stand-in. */
export interface PoolServer extends RunningServer {
  /** Sets the fleet and shows it on the instance list. */
  readonly setInstances: (instances: readonly Instance[]) => void;
  /** Operations that took effect, in order. */
  readonly listOperations: () => readonly PoolOperationEntry[];
}

/** Starts the stand-in, which shows its fleet on an instance list stand-in. */
export async function startPoolServer(
  list: Pick<InstanceServer, 'setInstances'>,
  options: PoolServerOptions,
): Promise<PoolServer> {
  const operations: PoolOperationEntry[] = [];
  const draining = new Set<string>();
  const rebooting = new Set<string>();
  const timers = new Set<NodeJS.Timeout>();
  let instances: readonly Instance[] = [];

  const refreshList = () =>
    list.setInstances(
      instances
        .filter(({ id }) => !rebooting.has(id))
        .map((one) => (draining.has(one.id) ? { ...one, state: 'leaving' } : one)),
    );
  const hasRun = (permitId: string, operation: PoolOperation) =>
    operations.some((one) => one.permitId === permitId && one.operation === operation);
  const startReboot = (instanceId: string) => {
    rebooting.add(instanceId);
    if (options.broken?.has(instanceId)) return;
    const timer = setTimeout(() => {
      timers.delete(timer);
      rebooting.delete(instanceId);
      draining.delete(instanceId);
      refreshList();
    }, options.rebootMs);
    timers.add(timer);
  };
  const applyOperation = (operation: PoolOperation, instanceId: string) => {
    switch (operation) {
      case 'drain':
        draining.add(instanceId);
        return;
      case 'reboot':
        startReboot(instanceId);
        return;
      case 'restore':
        draining.delete(instanceId);
        return;
      default:
        operation satisfies never;
    }
  };
  const handleOperation: Handler = async (request, response) => {
    const { operation, instanceId, permitId } = JSON.parse(
      await readBody(request),
    ) as PoolOperationEntry;
    if (hasRun(permitId, operation)) {
      answerJson(response, 200, { isRepeated: true });
      return;
    }
    if (hasRun(permitId, 'restore')) {
      answerJson(response, 409, { message: `the permit ${permitId} has ended` });
      return;
    }
    applyOperation(operation, instanceId);
    const unavailable = [...new Set([...draining, ...rebooting, instanceId])];
    operations.push({ operation, instanceId, permitId, unavailable });
    refreshList();
    answerJson(response, 200, { isRepeated: false });
  };

  const server = await startServer(handleOperation);
  return {
    address: server.address,
    close: async () => {
      timers.forEach(clearTimeout);
      await server.close();
    },
    setInstances: (changed) => {
      instances = changed;
      refreshList();
    },
    listOperations: () => operations,
  };
}
