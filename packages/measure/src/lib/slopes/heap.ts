/** Reads the heap in use after a full garbage collection. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

/**
 * Creates a function that runs a full garbage collection and returns the heap in use, in bytes. Node
 * needs no flag for it.
 */
export function createHeapReader(): () => number {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  return () => {
    collect();
    return process.memoryUsage().heapUsed;
  };
}
