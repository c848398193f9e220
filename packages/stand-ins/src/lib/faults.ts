/** The faults that the proxy knows, and the reading of a request's head that chooses one. */

/** Faults by the point at which they strike. */
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

/** The name of a fault. */
export type FaultName = (typeof FAULT_NAMES)[number];

/** What the proxy reads of a request's head. */
export interface RequestHead {
  readonly id: string;
  readonly fault: FaultName | undefined;
  /** Whether the fault strikes every attempt. */
  readonly isRepeated: boolean;
  /** Declared length of the body; 0 when none is declared. */
  readonly bodyBytes: number;
}

const KEPT_CONNECTIONS_ONLY: ReadonlySet<FaultName> = new Set(['swallow-request']);

/** Reads one header of a head. */
function readHeader(head: string, name: string): string | undefined {
  return new RegExp(`^${name}: *(.*?)\\r?$`, 'im').exec(head)?.[1];
}

/** Parses what the proxy needs of a request's head. */
export function parseHead(head: string): RequestHead {
  const named = readHeader(head, 'stand-in-fault') ?? '';
  return {
    id: readHeader(head, 'vanilladock-request-id') ?? '',
    fault: FAULT_NAMES.find((name) => name === named.replace('*', '')),
    isRepeated: named.endsWith('*'),
    bodyBytes: Number(readHeader(head, 'content-length') ?? 0),
  };
}

/**
 * Chooses the fault that strikes a request now. `struck` holds the ids that were struck before and
 * grows; a fault of established connections spares the first request of a connection.
 */
export function chooseFault(
  { id, fault, isRepeated }: RequestHead,
  struck: Set<string>,
  isKept: boolean,
): FaultName | undefined {
  if (fault === undefined) return undefined;
  if (KEPT_CONNECTIONS_ONLY.has(fault) && !isKept) return undefined;
  if (struck.has(id) && !isRepeated) return undefined;
  struck.add(id);
  return fault;
}
