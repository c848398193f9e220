/**
 * Measurement `team-keys`: processor time that the check of a call's key adds, as a share of the
 * processor time of a call, at the number of teams of the design size.
 */
import { createServer, request, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { createKeyGate } from '@vanilladock/daemon/lib/teams/key-gate.js';
import type { FleetConfig, RouteConfig } from 'vanilladock/lib/ports/fleet.js';
import { createTeamDirectory } from 'vanilladock/lib/teams/team-directory.js';
import type { Measure } from './measure.js';

const TEAMS = 340;
const KEYS_PER_TEAM = 2;
const CHECKS = 200_000;
const CALLS = 4_000;
const WARM_UP_CALLS = 500;
const ATTEMPT_MS = 2_000;
const MICROSECONDS_PER_MS = 1_000;

const ROUTE: RouteConfig = {
  name: 'route',
  host: 'host.example',
  pathPrefix: '/route/',
  pool: 'pool',
  timeoutMs: 3_000,
  policy: { priority: 0, maxAttempts: 1, stretch: 1, targetLatencyMs: 0, advice: undefined },
};

/** Makes the name of the key of a team. */
function makeKey(team: number, index: number): string {
  return `key-${team}-${index}-abcdefghijklmnop`;
}

/** Makes a configuration with teams of the design size. */
function makeConfig(): FleetConfig {
  const limit = { cores: 0, memoryMb: 0, accelerators: 0 };
  const teams = Array.from({ length: TEAMS }, (_, team) => ({
    team: { name: `team-${team}`, jobsPerSecond: 1, limit },
    keys: Array.from({ length: KEYS_PER_TEAM }, (__, index) => makeKey(team, index)),
  }));
  const limits = {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 262_144,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  };
  return { version: 1, routes: [ROUTE], pools: [], limits, teams: createTeamDirectory(teams) };
}

/** Measures the processor time of this process while work runs, in microseconds. */
async function measureCpu(work: () => Promise<void> | void): Promise<number> {
  const before = process.cpuUsage();
  await work();
  const { user, system } = process.cpuUsage(before);
  return user + system;
}

/** Sends calls one after the other over one connection. */
async function sendCalls(server: Server, count: number): Promise<void> {
  const { port } = server.address() as AddressInfo;
  for (let index = 0; index < count; index += 1) {
    await new Promise<void>((resolve, reject) => {
      const call = request({ host: '127.0.0.1', port, path: '/' }, (response) => {
        response.resume();
        response.once('end', resolve);
      });
      call.once('error', reject);
      call.end();
    });
  }
}

/** Measures the processor time of a call on a server that does nothing, caller included, in us. */
async function measureCallUs(): Promise<number> {
  const server = createServer((_, response) => response.end('{}'));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  await sendCalls(server, WARM_UP_CALLS);
  const totalUs = await measureCpu(() => sendCalls(server, CALLS));
  server.close();
  server.closeAllConnections();
  // Caller and server share this process and cost about the same.
  return totalUs / CALLS / 2;
}

/** The measurement. */
export const TEAM_KEYS_MEASURE: Measure = {
  name: 'team-keys',
  describe: 'processor time of the key check, as a share of that of an empty call',
  run: async ({ log }) => {
    const config = makeConfig();
    const silent = { info: () => {}, warn: () => {}, error: () => {} };
    const gate = createKeyGate({
      getConfig: () => config,
      freshness: { getAgeMs: () => 0 },
      bounds: { revocationMs: 5_000, applyMs: 3_000 },
      log: silent,
    });
    const runChecks = (count: number) => {
      for (let index = 0; index < count; index += 1) {
        const key = makeKey(index % TEAMS, index % KEYS_PER_TEAM);
        gate.check(ROUTE, { kind: 'key', key }, ATTEMPT_MS);
      }
    };
    runChecks(CHECKS / 10);
    const checkUs = (await measureCpu(() => runChecks(CHECKS))) / CHECKS;
    const callUs = await measureCallUs();
    log(`a check takes ${checkUs.toFixed(2)} us, an empty call ${callUs.toFixed(1)} us`);
    return {
      check_ms: checkUs / MICROSECONDS_PER_MS,
      check_share: checkUs / callUs,
    };
  },
};
