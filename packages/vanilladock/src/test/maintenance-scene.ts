/** A fleet of two pools for tests of maintenance: its log, instances, policy and records. */
import { DEFAULT_WAVE_SETTINGS, type WaveInput } from '../lib/maintenance/candidates.js';
import { DAY_MS, type MaintenancePolicy } from '../lib/maintenance/policy.js';
import type { Instance } from '../lib/topology.js';
import { appendClaims, appendMembers, createFakeLog, POLICY } from './fleet-records.js';

/** Wall clock at which the records of the tests are made. */
export const NOW_MS = 100 * DAY_MS;

const makeInstance = (id: string, dataCentre: string, rack = 'r0'): Instance => ({
  id,
  role: 'worker',
  address: '10.0.0.1:1',
  location: { region: 'south', dataCentre, rack },
  state: 'live',
  attributes: {},
});

/** Pool `a` has eight instances, alternating between two data centres; pool `b` has one. */
export const setUp = (rest: Partial<MaintenancePolicy> = {}) => {
  const policy = { ...POLICY, ...rest };
  const log = createFakeLog(policy);
  const fences = appendClaims(log);
  appendMembers(log, fences.moves, 'a', 8);
  appendMembers(log, fences.moves, 'b', 1);
  const instances = new Map<string, Instance>([['b-0', makeInstance('b-0', 'north')]]);
  for (let index = 0; index < 8; index += 1) {
    const id = `a-${index}`;
    instances.set(id, makeInstance(id, index % 2 === 0 ? 'north' : 'south', `r${index >> 1}`));
  }
  const makeInput = (nowMs = NOW_MS): WaveInput => ({
    fleet: log.getState(),
    instances,
    policyOf: () => policy,
    nowMs,
    settings: DEFAULT_WAVE_SETTINGS,
  });
  const appendPermit = (instanceId: string, at = NOW_MS, wave = 'north/1') =>
    log.append({
      kind: 'maintenance.permit',
      instanceId,
      wave,
      isCanary: false,
      fence: fences.waves,
      at,
    });
  const appendOutcome = (permitOffset: number, instanceId: string, at = NOW_MS) =>
    log.append({ kind: 'maintenance.outcome', permitOffset, instanceId, result: 'returned', at });
  const appendLoss = (lost: readonly string[], at: number, returned: readonly string[] = []) =>
    log.append({ kind: 'maintenance.observation', lost, returned, fence: fences.waves, at });
  return { log, fences, instances, policy, makeInput, appendPermit, appendOutcome, appendLoss };
};
