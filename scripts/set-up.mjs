/**
 * Prepares a checkout: installs the locked packages if those that are installed do not serve, then
 * builds every package incrementally.
 */
import { installPackages, runOrExit } from './installed-packages.mjs';

installPackages();
runOrExit(process.execPath, ['node_modules/typescript/bin/tsc', '-b']);
