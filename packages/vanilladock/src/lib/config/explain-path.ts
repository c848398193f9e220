/**
 * Explains a path such as `teams.market-stalls.weight` or `services.prices`: the value that holds and
 * the default or exception that gave it.
 */
import { Err, Ok, type Result } from 'ts-results-es';
import { explainValues, type ExplainedValue, type Subject } from './resolve.js';
import type { Config } from './schema.js';

const KINDS = {
  dataCentres: 'dataCentre',
  pools: 'pool',
  services: 'service',
  teams: 'team',
} as const;
const USAGE =
  'write defaults[.VALUE] or dataCentres|pools|services|teams.NAME[.VALUE], such as teams.bakers.weight';

/** Finds the subject that a path names; a service stands in its pool. */
function findSubject(config: Config, list: keyof typeof KINDS, name: string): Subject | undefined {
  if (!config[list].some((entry) => entry.name === name)) return undefined;
  const service = config.services.find((entry) => list === 'services' && entry.name === name);
  return service === undefined ? { [KINDS[list]]: name } : { service: name, pool: service.pool };
}

/** Selects one value, or all when none is named. */
function selectValues(
  values: readonly ExplainedValue[],
  name: string | undefined,
): Result<readonly ExplainedValue[], string> {
  if (name === undefined) return Ok(values);
  const found = values.filter((value) => value.name === name);
  if (found.length > 0) return Ok(found);
  const known = values.map((value) => value.name).join(', ');
  return Err(`there is no value ${name}; write one of ${known}`);
}

/** Explains what holds at a path; an error says what to write instead. */
export function explainPath(
  config: Config,
  path: string,
  nowMs: number,
): Result<readonly ExplainedValue[], string> {
  const [list = '', name, ...rest] = path.split('.');
  if (list === 'defaults' && rest.length === 0) {
    return selectValues(explainValues(config, {}, nowMs), name);
  }
  if (!(list in KINDS) || name === undefined || rest.length > 1) return Err(USAGE);
  const subject = findSubject(config, list as keyof typeof KINDS, name);
  if (subject === undefined) return Err(`${list} has no ${name}; ${USAGE}`);
  return selectValues(explainValues(config, subject, nowMs), rest[0]);
}
