/**
 * Runs a measurement alternately on an earlier commit and on the working tree, because the speed of
 * a shared machine drifts. The earlier commit is checked out into a temporary worktree and built
 * there.
 */
import { execFileSync, spawn } from 'node:child_process';
import { cpSync, mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { Figures } from './measure.js';

/** What to compare. */
export interface Comparison {
  readonly revision: string;
  readonly name: string;
  readonly seed: number;
  readonly rounds: number;
  readonly log: (line: string) => void;
}

/** Medians of the figures of the earlier revision and of the working tree. */
export interface ComparedFigures {
  readonly before: Figures;
  readonly after: Figures;
}

const ROOT = new URL('../../../../', import.meta.url).pathname;
const TOOL_PATH = 'packages/measure/dist/lib/main.js';

/** Runs the measure tool of a worktree as a child process; rejects when it prints no figures. */
function runTool(root: string, name: string, seed: number): Promise<Figures> {
  const args = [TOOL_PATH, name, '--seed', String(seed), '--json'];
  return new Promise((resolve, reject) => {
    const child = spawn(process.execPath, args, { cwd: root, stdio: ['ignore', 'pipe', 'ignore'] });
    let output = '';
    child.stdout.on('data', (chunk: Buffer) => {
      output += chunk.toString();
    });
    child.on('close', () => {
      const line = output.trim().split('\n').at(-1) ?? '';
      try {
        resolve(JSON.parse(line) as Figures);
      } catch {
        reject(new Error(`${name} printed no figures in ${root}; run it there by hand to see why`));
      }
    });
  });
}

/** Computes the median of each figure. */
function computeMedians(runs: readonly Figures[]): Figures {
  const names = Object.keys(runs[0] ?? {});
  return Object.fromEntries(
    names.map((name) => {
      const values = runs.map((run) => run[name] ?? NaN).sort((a, b) => a - b);
      return [name, values[Math.floor(values.length / 2)] ?? NaN];
    }),
  );
}

/**
 * Checks out and builds a revision; node_modules is copied because its links to packages are
 * relative.
 */
function createWorktree(revision: string): string {
  const root = join(mkdtempSync(join(tmpdir(), 'against-')), 'tree');
  execFileSync('git', ['worktree', 'add', '--detach', root, revision], {
    cwd: ROOT,
    stdio: 'ignore',
  });
  cpSync(join(ROOT, 'node_modules'), join(root, 'node_modules'), {
    recursive: true,
    verbatimSymlinks: true,
  });
  execFileSync(process.execPath, ['node_modules/typescript/bin/tsc', '-b'], { cwd: root });
  return root;
}

/**
 * Measures a revision and the working tree in alternating rounds; removes the worktree afterwards.
 */
export async function compareRevisions(comparison: Comparison): Promise<ComparedFigures> {
  const { revision, name, seed, rounds, log } = comparison;
  log(`building ${revision}`);
  const root = createWorktree(revision);
  const before: Figures[] = [];
  const after: Figures[] = [];
  try {
    for (let round = 0; round < rounds; round += 1) {
      log(`round ${round + 1} of ${rounds}`);
      before.push(await runTool(root, name, seed));
      after.push(await runTool(ROOT, name, seed));
    }
  } finally {
    execFileSync('git', ['worktree', 'remove', '--force', root], { cwd: ROOT, stdio: 'ignore' });
    rmSync(join(root, '..'), { recursive: true, force: true });
  }
  return { before: computeMedians(before), after: computeMedians(after) };
}
