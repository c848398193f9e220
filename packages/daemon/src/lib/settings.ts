/**
 * Settings of an entry daemon, read from a YAML file; command-line flags override single values.
 */
import type { Result } from 'ts-results-es';
import { parseYaml, type ConfigFault } from 'vanilladock';
import { parseDocument } from 'yaml';
import { z } from 'zod';

const ADDRESS = z
  .string()
  .regex(/^\d+\.\d+\.\d+\.\d+:\d+$/, 'write an IP number and a port, such as 10.0.0.7:8080');
const MIN_KEY_LENGTH = 16;

const settingsSchema = z.strictObject({
  id: z.string().min(1),
  region: z.string().min(1),
  dataCentre: z.string().min(1),
  rack: z.string().min(1),
  /** Addresses to listen on for callers, operators and peers. Port 0 lets the kernel choose one. */
  listen: z.strictObject({ callers: ADDRESS, operators: ADDRESS, peers: ADDRESS }),
  platform: z.strictObject({
    log: ADDRESS,
    instances: ADDRESS,
    /** Address of the pool operations; without it no instance is maintained or moved. */
    pools: ADDRESS.optional(),
  }),
  /** Timing of pools and maintenance, in milliseconds, to suit faster or slower platforms. */
  fleet: z
    .strictObject({
      roundMs: z.number().int().positive().default(5_000),
      /** Time absent from the instance list after which an instance counts as lost. */
      lostAfterMs: z.number().int().positive().default(60_000),
      /** Time after a reboot by which the instance list reliably shows it. */
      settleMs: z.number().int().positive().default(90_000),
    })
    .prefault({}),
  /** Peer addresses of the other entries. */
  peers: z.array(ADDRESS).default([]),
  /** Key shared by entries and operators; never logged. */
  key: z.string().min(MIN_KEY_LENGTH, `write a key of at least ${MIN_KEY_LENGTH} characters`),
  logLevel: z.enum(['trace', 'debug', 'info', 'warn', 'error', 'silent']).default('info'),
  /** File descriptors that the process may have open; callers get three quarters of most of them. */
  maxDescriptors: z.number().int().positive().default(4_096),
  /** Time between failing readiness and refusing connections, in milliseconds. */
  drainNoticeMs: z.number().int().nonnegative().default(1_000),
  /** Longest wait for requests in progress after that notice, in milliseconds. */
  drainLimitMs: z.number().int().positive().default(60_000),
});

/** Validated settings of one entry daemon. */
export type Settings = Readonly<z.infer<typeof settingsSchema>>;

/** A setting given on the command line: its path, such as `listen.callers`, and its value. */
export interface SettingOverride {
  readonly path: string;
  readonly value: unknown;
}

/**
 * Paths of the settings that a command-line flag can override. The key is not among them, because
 * other users of a machine can read the arguments of its processes.
 */
export const OVERRIDABLE_SETTINGS = [
  'id',
  'region',
  'dataCentre',
  'rack',
  'listen.callers',
  'listen.operators',
  'listen.peers',
  'platform.log',
  'platform.instances',
  'platform.pools',
  'peers',
  'logLevel',
  'drainLimitMs',
] as const;

/** Applies overrides to YAML text; leaves text with syntax errors for the parser to report. */
function applyOverrides(text: string, overrides: readonly SettingOverride[]): string {
  const document = parseDocument(text);
  if (overrides.length === 0 || document.errors.length > 0) return text;
  overrides.forEach(({ path, value }) => document.setIn(path.split('.'), value));
  return document.toString();
}

/** Parses the text of a settings file after applying overrides; the error lists all faults. */
export function parseSettings(
  text: string,
  overrides: readonly SettingOverride[] = [],
): Result<Settings, readonly ConfigFault[]> {
  const schema = settingsSchema as unknown as z.ZodType<Settings>;
  return parseYaml(applyOverrides(text, overrides), schema);
}
