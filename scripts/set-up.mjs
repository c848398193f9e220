/**
 * Prepares a checkout: installs the locked dependencies if they are missing or older than the lock
 * file, then builds every package incrementally.
 */
import { spawnSync } from 'node:child_process';
import { existsSync, statSync } from 'node:fs';

const INSTALLED_LOCK_FILE = 'node_modules/.package-lock.json';

/** Runs a command with its output sent to standard error; exits with its exit code if it fails. */
function runOrExit(command, args) {
  const result = spawnSync(command, args, { stdio: ['ignore', 2, 2] });
  if (result.status !== 0) {
    process.stderr.write(
      `${command} ${args.join(' ')} failed; fix the errors above and try again\n`,
    );
    process.exit(result.status ?? 1);
  }
}

/** Says whether node_modules is missing or older than the lock file. */
function isInstallStale() {
  if (!existsSync(INSTALLED_LOCK_FILE)) return true;
  return statSync(INSTALLED_LOCK_FILE).mtimeMs < statSync('package-lock.json').mtimeMs;
}

if (isInstallStale()) runOrExit('npm', ['ci', '--ignore-scripts', '--loglevel=error']);
runOrExit(process.execPath, ['node_modules/typescript/bin/tsc', '-b']);
