/** Settings of one entry daemon, from a YAML file; command-line flags override single values. */
import type { Result } from 'ts-results-es';
import { parseYaml, type ConfigFault } from 'vanilladock';
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
  /** Where callers, operators and peers reach this entry. Port 0 lets the kernel choose. */
  listen: z.strictObject({ callers: ADDRESS, operators: ADDRESS, peers: ADDRESS }),
  platform: z.strictObject({ log: ADDRESS, instances: ADDRESS }),
  /** Peer addresses of the other entries. */
  peers: z.array(ADDRESS).default([]),
  /** Shared by entries and operators; never logged. */
  key: z.string().min(MIN_KEY_LENGTH, `write a key of at least ${MIN_KEY_LENGTH} characters`),
  logLevel: z.enum(['trace', 'debug', 'info', 'warn', 'error', 'silent']).default('info'),
  /** Time between failing readiness and refusing connections, in milliseconds. */
  drainNoticeMs: z.number().int().nonnegative().default(1_000),
  /** Longest wait for requests in progress after SIGTERM, in milliseconds. */
  drainLimitMs: z.number().int().positive().default(60_000),
});

/** Checked settings of one entry daemon. */
export type Settings = Readonly<z.infer<typeof settingsSchema>>;

/** Parses the settings file's text. */
export function parseSettings(text: string): Result<Settings, readonly ConfigFault[]> {
  return parseYaml(text, settingsSchema as unknown as z.ZodType<Settings>);
}
