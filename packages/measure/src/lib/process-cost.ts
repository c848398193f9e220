/** Reads the processor time and the memory of a process from Linux's `/proc`. */
import { readFileSync } from 'node:fs';

/** Resource use of a process. */
export interface ProcessCost {
  /** Processor time since start, in seconds. */
  readonly cpuSeconds: number;
  /** Current resident memory, in megabytes of 1 048 576 bytes. */
  readonly residentMb: number;
}

const TICKS_PER_SECOND = 100;
const PAGE_BYTES = 4_096;
const BYTES_PER_MB = 1_048_576;
/** Indices in `/proc/PID/stat` after the command name; 0 is the process state. */
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

/** Reads the resource use of a process so far. Throws when the process has ended. */
export function readProcessCost(pid: number): ProcessCost {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
  const pages = Number(readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ')[1]);
  return {
    cpuSeconds: ticks / TICKS_PER_SECOND,
    residentMb: (pages * PAGE_BYTES) / BYTES_PER_MB,
  };
}
