/**
 * Stand-in for the platform's pool operations. `POST /operations` with `{"operation", "instanceId",
 * "permitId"}` drains, reboots or restores an instance. Each operation takes effect once per
 * permit; after a permit's restore, its drain and reboot are refused with 409. The instance list
 * shows a drained instance as leaving, omits a rebooting one, and shows the original entry once the
 * instance has rebooted or was restored.
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

/** An operation on an instance. */
export type PoolOperation = 'drain' | 'reboot' | 'restore';

/** An operation that took effect. */
export interface PoolOperationEntry {
  readonly operation: PoolOperation;
  readonly instanceId: string;
  readonly permitId: string;
  /**
   * Ids of the instances draining or rebooting once the operation took effect, and `instanceId`
   * itself.
   */
  readonly unavailable: readonly string[];
}

/** Options of the pool operations stand-in. */
export interface PoolServerOptions {
  /** Duration of a reboot, in milliseconds. */
  readonly rebootMs: number;
  /** Ids of the instances whose reboot never completes; none if absent. */
  readonly broken?: ReadonlySet<string>;
}

/** A running stand-in for the pool operations. */
export interface PoolServer extends RunningServer {
  /** Sets the instances and publishes them on the instance list. */
  readonly setInstances: (instances: readonly Instance[]) => void;
  /** Operations that took effect, in order. */
  readonly listOperations: () => readonly PoolOperationEntry[];
}

/** Starts the stand-in, which publishes its instances on the given instance list stand-in. */
export async function startPoolServer(
  instanceList: Pick<InstanceServer, 'setInstances'>,
  options: PoolServerOptions,
): Promise<PoolServer> {
  const operations: PoolOperationEntry[] = [];
  const draining = new Set<string>();
  const rebooting = new Set<string>();
  const timers = new Set<NodeJS.Timeout>();
  let instances: readonly Instance[] = [];

  const refreshList = () =>
    instanceList.setInstances(
      instances
        .filter(({ id }) => !rebooting.has(id))
        .map((entry) => (draining.has(entry.id) ? { ...entry, state: 'leaving' } : entry)),
    );
  const hasRun = (permitId: string, operation: PoolOperation) =>
    operations.some((entry) => entry.permitId === permitId && entry.operation === operation);
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
    if (operation !== 'restore' && hasRun(permitId, 'restore')) {
      answerJson(response, 409, { message: `the permit ${permitId} has ended` });
      return;
    }
    if (hasRun(permitId, operation)) {
      answerJson(response, 200, { isRepeated: true });
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
    setInstances: (newInstances) => {
      instances = newInstances;
      refreshList();
    },
    listOperations: () => operations,
  };
}
