/** The key that entries and operators share: its header and a constant-time comparison. */
import { createHash, timingSafeEqual } from 'node:crypto';

/** Header that carries the key. */
export const KEY_HEADER = 'vanilladock-key';

/** Says whether two keys are equal, in a time that does not reveal where they differ. */
export function isSameKey(left: string, right: string): boolean {
  const computeHash = (text: string) => createHash('sha256').update(text).digest();
  return timingSafeEqual(computeHash(left), computeHash(right));
}
