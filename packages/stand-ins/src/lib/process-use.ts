/** What a process uses of its machine, as the kernel tells it; on Linux only. */
import { readdirSync, readFileSync } from 'node:fs';

/** The most that a process has used while it was watched. */
export interface ProcessPeak {
  /** Resident memory and bytes that its connections have received and it has not read, in MB. */
  readonly memoryMb: number;
  readonly descriptors: number;
}

/** Watch over a process. */
export interface ProcessWatch {
  readonly getPeak: () => ProcessPeak;
  readonly stop: () => void;
}

const SAMPLE_MS = 50;
const KB_PER_MB = 1024;
const BYTES_PER_MB = 1_048_576;
const HEX = 16;

/** Reads the resident memory of a process in MB; 0 if it has ended. */
function readMemory(pid: number): number {
  try {
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / KB_PER_MB;
  } catch {
    return 0;
  }
}

/** Counts the open descriptors of a process; 0 if it has ended. */
function countDescriptors(pid: number): number {
  try {
    return readdirSync(`/proc/${pid}/fd`).length;
  } catch {
    return 0;
  }
}

/** Sums the bytes that connections to a local port hold unread in the kernel, in MB. */
function sumUnread(port: number): number {
  const local = `:${port.toString(HEX).toUpperCase().padStart(4, '0')}`;
  const bytes = readFileSync('/proc/net/tcp', 'utf8')
    .split('\n')
    .map((line) => line.trim().split(/\s+/))
    .filter(([, address = '']) => address.endsWith(local))
    .map(([, , , , queues = '']) => Number.parseInt(queues.split(':')[1] ?? '0', HEX))
    .reduce((sum, unread) => sum + unread, 0);
  return bytes / BYTES_PER_MB;
}

/** Watches a process that listens on a port. */
export function watchProcess(pid: number, port: number): ProcessWatch {
  let peak: ProcessPeak = { memoryMb: 0, descriptors: 0 };
  const takeSample = () => {
    peak = {
      memoryMb: Math.max(peak.memoryMb, readMemory(pid) + sumUnread(port)),
      descriptors: Math.max(peak.descriptors, countDescriptors(pid)),
    };
  };
  const timer = setInterval(takeSample, SAMPLE_MS);
  return {
    getPeak: () => {
      takeSample();
      return peak;
    },
    stop: () => clearInterval(timer),
  };
}
