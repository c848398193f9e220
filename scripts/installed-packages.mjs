/**
 * Checks whether node_modules holds what the lock file asks for on this machine, and installs it if
 * not. A folder that was carried over from another machine can be newer than the lock file and yet
 * hold the binaries of another processor.
 */
import { spawnSync } from 'node:child_process';
import { existsSync, readFileSync } from 'node:fs';
import { join } from 'node:path';

const INSTALLED_LOCK_FILE = 'node_modules/.package-lock.json';
const LOCK_FILE = 'package-lock.json';

/** Reads the packages of a lock file, by path; undefined if there is none that can be used. */
function readPackages(file) {
  if (!existsSync(file)) return undefined;
  try {
    return JSON.parse(readFileSync(file, 'utf8')).packages;
  } catch {
    return undefined;
  }
}

/** Says whether a machine's value is among those that a package allows; `!NAME` excludes one. */
function isAllowed(value, list = []) {
  if (list.includes(`!${value}`)) return false;
  const names = list.filter((name) => !name.startsWith('!'));
  return names.length === 0 || names.includes(value) || names.includes('any');
}

/** Says whether a package is made for a machine. */
function isForMachine({ os, cpu }, { platform, arch }) {
  return isAllowed(platform, os) && isAllowed(arch, cpu);
}

/** Lists the paths of the optional packages that needed packages name, such as binaries. */
function listOptionalOfNeeded(locked) {
  return Object.entries(locked)
    .filter(([path, entry]) => path !== '' && entry.optional !== true)
    .flatMap(([path, { optionalDependencies = {} }]) =>
      Object.keys(optionalDependencies).flatMap((name) => [
        `${path}/node_modules/${name}`,
        `node_modules/${name}`,
      ]),
    );
}

/** Lists the paths of the packages that must be installed on a machine. */
function listNeeded(locked, machine) {
  const optionalOfNeeded = new Set(listOptionalOfNeeded(locked));
  return Object.entries(locked)
    .filter(([path, entry]) => {
      if (path === '') return false;
      if (entry.optional !== true) return true;
      const isBinary = entry.cpu !== undefined && entry.libc === undefined;
      return isBinary && optionalOfNeeded.has(path) && isForMachine(entry, machine);
    })
    .map(([path]) => path);
}

/**
 * Finds why the installed packages of a folder do not serve on a machine, given as `platform` and
 * `arch` of Node; undefined if they do.
 */
export function findInstallFault(root = '.', machine = process) {
  const installed = readPackages(join(root, INSTALLED_LOCK_FILE));
  if (installed === undefined) return 'no packages are installed';
  const locked = readPackages(join(root, LOCK_FILE)) ?? {};
  const foreign = Object.keys(installed).find((path) => !isForMachine(installed[path], machine));
  if (foreign !== undefined) return `${foreign} is for another machine`;
  const needed = listNeeded(locked, machine);
  const missing = needed.find(
    (path) => installed[path] === undefined || !existsSync(join(root, path, 'package.json')),
  );
  if (missing !== undefined) return `${missing} is missing`;
  const other = Object.keys(installed).find(
    (path) =>
      installed[path].version !== locked[path]?.version ||
      installed[path].integrity !== locked[path]?.integrity,
  );
  return other === undefined ? undefined : `${other} is not the locked version`;
}

/** Runs a command with its output sent to standard error; exits with its exit code if it fails. */
export function runOrExit(command, args) {
  const result = spawnSync(command, args, { stdio: ['ignore', 2, 2] });
  if (result.status !== 0) {
    process.stderr.write(
      `${command} ${args.join(' ')} failed; fix the errors above and try again\n`,
    );
    process.exit(result.status ?? 1);
  }
}

/** Installs the locked packages if those that are installed do not serve; exits if that fails. */
export function installPackages() {
  const fault = findInstallFault();
  if (fault === undefined) return;
  process.stderr.write(`installing the locked packages: ${fault}\n`);
  runOrExit('npm', ['ci', '--ignore-scripts', '--loglevel=error']);
}
