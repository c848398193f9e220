/** The key that entries and operators share: its header, and a comparison that tells nothing of it. */
import { createHash, timingSafeEqual } from 'node:crypto';

/** Header that carries the key. */
export const KEY_HEADER = 'vanilladock-key';

/** Says whether two keys are equal, in a time that does not depend on where they differ. */
export function isSameKey(one: string, other: string): boolean {
  const computeHash = (text: string) => createHash('sha256').update(text).digest();
  return timingSafeEqual(computeHash(one), computeHash(other));
}
