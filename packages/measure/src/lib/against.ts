/**
 * Runs a measurement of an earlier commit beside that of the working tree, in turns, because a shared
 * machine drifts. The earlier commit is checked out into a temporary worktree and built there.
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

/** Medians of the figures on both sides. */
export interface ComparedFigures {
  readonly before: Figures;
  readonly after: Figures;
}

const ROOT = new URL('../../../../', import.meta.url).pathname;
const TOOL = 'packages/measure/dist/lib/main.js';

/** Runs the measure tool of a tree in a process of its own. */
function runTool(root: string, name: string, seed: number): Promise<Figures> {
  const args = [TOOL, name, '--seed', String(seed), '--json'];
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
        reject(new Error(`${name} gave no figures in ${root}; run it there by hand to see why`));
      }
    });
  });
}

/** Takes the median of each figure. */
function computeMedians(runs: readonly Figures[]): Figures {
  const names = Object.keys(runs[0] ?? {});
  return Object.fromEntries(
    names.map((name) => {
      const values = runs.map((run) => run[name] ?? NaN).sort((a, b) => a - b);
      return [name, values[Math.floor(values.length / 2)] ?? NaN];
    }),
  );
}

/** Checks out and builds a revision; its dependencies are copied, for their links to packages are relative. */
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

/** Compares a revision with the working tree over alternating rounds. */
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
