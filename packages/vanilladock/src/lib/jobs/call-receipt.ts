/**
 * Tells which instance received a call about a job and when, so that the log of the planner leads from
 * a run to the submission that caused it, and to the cancel that should have prevented it.
 */

/** The receipt of a call from its caller. */
export interface CallReceipt {
  /** Id of the instance that read the call. */
  readonly instance: string;
  /**
   * When the instance had read the call, in milliseconds since 1970 by its own clock. The caller may
   * have sent it long before, as to an instance that was paused.
   */
  readonly receivedAtMs: number;
}

/** Fields of a log line that tell the receipt of a call. */
export interface ReceiptFields {
  readonly from: string | undefined;
  readonly receivedAtMs: number | undefined;
  /** Time from the receipt to the decision in milliseconds, by the clocks of two instances. */
  readonly receiptAgeMs: number | undefined;
}

/** Makes the log fields of a receipt at the wall time `wallMs`; undefined for an unknown one. */
export function makeReceiptFields(receipt: CallReceipt | undefined, wallMs: number): ReceiptFields {
  const receivedAtMs = receipt?.receivedAtMs;
  return {
    from: receipt?.instance,
    receivedAtMs,
    receiptAgeMs: receivedAtMs === undefined ? undefined : Math.round(wallMs - receivedAtMs),
  };
}
