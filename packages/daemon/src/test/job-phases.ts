/** Stored phases of the jobs of a pool, as a simulation writes them. */
import type { KeyedRecord } from 'vanilladock/lib/ports/keyed-store.js';

/** Keeps the newest stored phase of each job. */
export const createJobPhases = (ofPool: string) => {
  const phases = new Map<string, string>();
  return {
    get: (jobId: string) => phases.get(jobId),
    list: (phase: string) => [...phases.keys()].filter((id) => phases.get(id) === phase),
    observe: (records: readonly KeyedRecord[]) =>
      records.forEach(({ key, value }) => {
        const [pool, jobId, kind] = key.split(':');
        if (pool !== ofPool || kind !== 'p' || value === undefined) return;
        phases.set(jobId!, (JSON.parse(value) as { readonly phase: string }).phase);
      }),
  };
};
