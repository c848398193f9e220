/** Test helper that runs the command line as a process. */
import { spawn } from 'node:child_process';

const MAIN = new URL('../lib/main.js', import.meta.url).pathname;

/** Exit code and output of a finished command. */
export interface FinishedCommand {
  readonly code: number | null;
  readonly stdout: string;
  readonly stderr: string;
}

/** Runs the command line until it exits, with a text on standard input. */
export function runCommand(args: readonly string[], input = ''): Promise<FinishedCommand> {
  return new Promise((resolve) => {
    const child = spawn(process.execPath, [MAIN, ...args]);
    let stdout = '';
    let stderr = '';
    child.stdout.on('data', (chunk: Buffer) => {
      stdout += chunk.toString();
    });
    child.stderr.on('data', (chunk: Buffer) => {
      stderr += chunk.toString();
    });
    child.stdin.end(input);
    child.on('close', (code) => resolve({ code, stdout, stderr }));
  });
}
