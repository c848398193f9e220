/**
 * Fencing tokens of the planners. A claim that follows the current one supersedes it; from that
 * offset on, only records that carry the new claim's offset take effect.
 */
import { Map } from 'immutable';
import type { ClaimRecord } from '../duties/records.js';
import type { PlacedRecord } from '../log/record.js';

/** The duty whose holder plans moves of instances between pools. */
export const MOVES_DUTY = 'pools/moves';

/** The duty whose holder issues maintenance permits and records losses. */
export const MAINTENANCE_DUTY = 'maintenance/waves';

/** Offset of the newest valid claim, by duty; that offset is the claim's fencing token. */
export type Fences = Map<string, number>;

/** Creates the fences before the first claim. */
export function createFences(): Fences {
  return Map();
}

/** Folds a claim; one that does not follow the current claim is void. */
export function foldFence(fences: Fences, placed: PlacedRecord<ClaimRecord>): Fences {
  const { record, offset } = placed;
  if (record.follows !== (fences.get(record.duty) ?? -1)) return fences;
  return fences.set(record.duty, offset);
}

/** Says whether a token belongs to the duty's current claim; false before the first claim. */
export function isCurrentFence(fences: Fences, duty: string, fence: number): boolean {
  return fences.get(duty) === fence;
}
