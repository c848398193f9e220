/** Log records of duty claims. A claim lets one entry at a time perform a piece of control work. */
import type { RecordHead } from '../log/record.js';

/** A claim on a duty; its log offset is the fencing token for the owner's subsequent writes. */
export interface ClaimRecord extends RecordHead {
  readonly kind: 'duty.claim';
  readonly duty: string;
  /** Offset of the preceding claim; -1 for none. The claim is void unless that one is current. */
  readonly follows: number;
  /** Length of the lease in milliseconds; 0 releases the duty. */
  readonly leaseMs: number;
}
