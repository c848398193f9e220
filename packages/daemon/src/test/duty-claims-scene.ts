/** The claims of one instance, `entry-0`, that nobody hands a duty over to and that has no peers. */
import type { KeyedStore } from 'vanilladock/lib/ports/keyed-store.js';
import type { ClaimOptions, DutyClaims } from '../lib/jobs/duty-claims-types.js';
import { createDutyClaims } from '../lib/jobs/duty-claims.js';
import { SILENT_LOG } from './job-fixtures.js';

export const SELF = { id: 'entry-0~1', name: 'entry-0', address: '127.0.0.1:1', cores: 1 };

/** Starts the claims, by default of one pool and without contact to the store yet. */
export const startClaims = (
  store: KeyedStore,
  change: Partial<Pick<ClaimOptions, 'listDuties' | 'getStoreContactMs'>> = {},
): DutyClaims => {
  const dutyClaims = createDutyClaims({
    store,
    self: SELF,
    listDuties: () => ['pool/stalls'],
    handleContact: () => {},
    getStoreContactMs: () => 0,
    isHandedOver: () => false,
    findHandOver: () => undefined,
    sendNotice: () => Promise.resolve({ kind: 'silent' }),
    log: SILENT_LOG,
    ...change,
  });
  dutyClaims.start();
  return dutyClaims;
};
