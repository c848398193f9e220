/** The faults that the proxy can inject, and the choice of one from a request's head. */

/** Faults in the order of the points of an exchange at which they take effect. */
export const FAULT_NAMES = [
  'reset-before-head',
  'reset-in-head',
  'reset-after-head',
  'reset-in-body',
  'reset-after-request',
  'swallow-request',
  'half-close',
  'drip-request',
  'reset-before-answer',
  'reset-in-answer-head',
  'cut-in-answer-head',
  'reset-in-answer-body',
  'cut-in-answer-body',
  'swallow-answer',
  'late-answer',
  'delay-answer',
  'drip-answer',
  'close-after-answer',
  'reset-after-answer',
  'stray-answer',
  'garbage-answer',
] as const;

/** The name of a fault that the proxy can inject. */
export type FaultName = (typeof FAULT_NAMES)[number];

/** The fields of a request's head that the proxy uses. */
export interface RequestHead {
  /** The request id; empty if the header is absent. Requests without an id share one fault. */
  readonly id: string;
  /** The fault asked for; undefined if the header is absent or names no known fault. */
  readonly fault: FaultName | undefined;
  /** Whether the fault applies to every attempt instead of the first one only. */
  readonly isRepeated: boolean;
  /** Declared length of the body; 0 if none is declared. */
  readonly bodyBytes: number;
}

const REUSED_CONNECTIONS_ONLY: ReadonlySet<FaultName> = new Set(['swallow-request']);

/** Reads the value of a header; undefined if it is absent. */
function readHeader(head: string, name: string): string | undefined {
  return new RegExp(`^${name}: *(.*?)\\r?$`, 'im').exec(head)?.[1];
}

/** Parses the fields of a request's head that the proxy uses. */
export function parseHead(head: string): RequestHead {
  const faultHeader = readHeader(head, 'stand-in-fault') ?? '';
  return {
    id: readHeader(head, 'vanilladock-request-id') ?? '',
    fault: FAULT_NAMES.find((name) => name === faultHeader.replace('*', '')),
    isRepeated: faultHeader.endsWith('*'),
    bodyBytes: Number(readHeader(head, 'content-length') ?? 0),
  };
}

/**
 * Chooses the fault to inject into a request; undefined for none. `faultedIds` holds the ids of
 * requests that already had a fault and receives this one. Faults in `REUSED_CONNECTIONS_ONLY` are
 * not injected into the first request of a connection.
 */
export function chooseFault(
  { id, fault, isRepeated }: RequestHead,
  faultedIds: Set<string>,
  isReusedConnection: boolean,
): FaultName | undefined {
  if (fault === undefined) return undefined;
  if (REUSED_CONNECTIONS_ONLY.has(fault) && !isReusedConnection) return undefined;
  if (faultedIds.has(id) && !isRepeated) return undefined;
  faultedIds.add(id);
  return fault;
}
