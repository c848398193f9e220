/** Records about duties: claims by which one entry at a time does a piece of control work. */
import type { RecordHead } from '../log/record.js';

/** A claim on a duty; its offset is the fencing token of what the owner then writes. */
export interface ClaimRecord extends RecordHead {
  readonly kind: 'duty.claim';
  readonly duty: string;
  /** Offset of the claim that this one follows; -1 for none. Void unless it is the current one. */
  readonly follows: number;
  /** Length of the lease in milliseconds; 0 gives the duty back. */
  readonly leaseMs: number;
}
