/**
 * Explains a path such as `teams.market-stalls.weight` or `services.prices`: the effective values
 * and the default or exception that each comes from.
 */
import { Err, Ok, type Result } from 'ts-results-es';
import { explainValues, type ExplainedValue, type Subject } from './resolve.js';
import type { Config } from './schema.js';

const SCOPE_PARTS = {
  dataCentres: 'dataCentre',
  pools: 'pool',
  services: 'service',
  teams: 'team',
} as const;
const USAGE =
  'write defaults[.VALUE] or dataCentres|pools|services|teams.NAME[.VALUE], such as teams.bakers.weight';

/** Finds the subject that a path names; the subject of a service includes its pool. */
function findSubject(
  config: Config,
  list: keyof typeof SCOPE_PARTS,
  name: string,
): Subject | undefined {
  if (!config[list].some((entry) => entry.name === name)) return undefined;
  const service = config.services.find((entry) => list === 'services' && entry.name === name);
  return service === undefined
    ? { [SCOPE_PARTS[list]]: name }
    : { service: name, pool: service.pool };
}

/** Selects the value of a name, or all values when no name is given. */
function selectValues(
  values: readonly ExplainedValue[],
  name: string | undefined,
): Result<readonly ExplainedValue[], string> {
  if (name === undefined) return Ok(values);
  const selected = values.filter((value) => value.name === name);
  if (selected.length > 0) return Ok(selected);
  const names = values.map((value) => value.name).join(', ');
  return Err(`there is no value ${name}; write one of ${names}`);
}

/**
 * Explains the values at a path: one when the path ends in a value's name, otherwise all. An error
 * says what to write instead. `nowMs` is the date, in milliseconds since 1970, that decides which
 * exceptions are in force.
 */
export function explainPath(
  config: Config,
  path: string,
  nowMs: number,
): Result<readonly ExplainedValue[], string> {
  const [list = '', name, ...rest] = path.split('.');
  if (list === 'defaults' && rest.length === 0) {
    return selectValues(explainValues(config, {}, nowMs), name);
  }
  if (!(list in SCOPE_PARTS) || name === undefined || rest.length > 1) return Err(USAGE);
  const subject = findSubject(config, list as keyof typeof SCOPE_PARTS, name);
  if (subject === undefined) return Err(`${list} has no ${name}; ${USAGE}`);
  return selectValues(explainValues(config, subject, nowMs), rest[0]);
}
