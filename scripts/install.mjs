/** Installs the locked packages unless those that are installed serve on this machine. */
import { installPackages } from './installed-packages.mjs';

installPackages();
