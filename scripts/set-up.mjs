/**
 * Prepares a checkout: installs the locked dependencies when they are missing or older than the
 * lock file, then builds every package. Does nothing that is already done.
 */
import { spawnSync } from 'node:child_process';
import { existsSync, statSync } from 'node:fs';

const INSTALLED_LOCK = 'node_modules/.package-lock.json';

/** Runs one command with inherited output and exits with its code when it fails. */
function runOrExit(command, args) {
  const result = spawnSync(command, args, { stdio: ['ignore', 2, 2] });
  if (result.status !== 0) {
    process.stderr.write(
      `${command} ${args.join(' ')} failed; mend what it printed and try again\n`,
    );
    process.exit(result.status ?? 1);
  }
}

/** Says whether node_modules lacks what the lock file asks for. */
function isInstallStale() {
  if (!existsSync(INSTALLED_LOCK)) return true;
  return statSync(INSTALLED_LOCK).mtimeMs < statSync('package-lock.json').mtimeMs;
}

if (isInstallStale()) runOrExit('npm', ['ci', '--ignore-scripts', '--loglevel=error']);
runOrExit(process.execPath, ['node_modules/typescript/bin/tsc', '-b']);
