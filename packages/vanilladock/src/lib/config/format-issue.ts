/** Formats schema issues as messages: what is wrong and what to write instead, with units. */
import type { z } from 'zod';

const UNITS: readonly (readonly [RegExp, string])[] = [
  [/Ms$/, 'a whole number of milliseconds'],
  [/Bytes$/, 'a whole number of bytes'],
  [/Days$/, 'a number of days'],
  [/Hours$/, 'two hours of the day, such as [20, 24]'],
  [/Share$/, 'a share from 0 to 1, such as 0.25'],
  [/PerSecond$/, 'a number of requests a second'],
  [/Cores$/, 'a number of cores'],
  [/[wW]eight$/, 'a number'],
  [/^(slots|connections|queueLength|canaries)$/, 'a whole number'],
];
const EXPECTED: Readonly<Record<string, string>> = {
  string: 'a string',
  number: 'a number',
  int: 'a whole number',
  boolean: 'true or false',
  array: 'a list',
  object: 'a map of names to values',
  record: 'a map of names to values',
  tuple: 'a list of two numbers',
};

/** Finds the description of a value by the unit in its name. */
function findUnit(path: readonly PropertyKey[]): string | undefined {
  const name = path.findLast((part) => typeof part === 'string') ?? '';
  return UNITS.find(([pattern]) => pattern.test(String(name)))?.[1];
}

/** Formats a value of the wrong type or a missing value. */
function formatInvalidType(issue: z.core.$ZodIssueInvalidType, isMissing: boolean): string {
  const wanted = findUnit(issue.path) ?? EXPECTED[issue.expected] ?? issue.expected;
  const name = String(issue.path.at(-1) ?? 'the document');
  return isMissing ? `${name} is missing; write ${wanted}` : `this is not valid; write ${wanted}`;
}

/** Formats a number out of its range, or a list or text that is too short or too long. */
function formatRange(issue: z.core.$ZodIssueTooBig | z.core.$ZodIssueTooSmall): string {
  const unit = findUnit(issue.path);
  const suffix = unit === undefined ? '' : `: ${unit}`;
  if (issue.code === 'too_big') {
    return `too large; write at most ${issue.maximum}${suffix}`;
  }
  const isList = issue.origin === 'array' || issue.origin === 'string';
  if (isList) return `empty; write at least ${issue.minimum}`;
  const bound =
    issue.inclusive === false ? `more than ${issue.minimum}` : `at least ${issue.minimum}`;
  return `too small; write ${bound}${suffix}`;
}

/**
 * Matches the default messages of zod; other messages come from the schema and stay as they are.
 */
const DEFAULT_MESSAGE = /^(Too|Invalid|Unrecognized)/;

/** Formats a schema issue; `isMissing` tells that the document has no value at its path. */
export function formatIssue(issue: z.core.$ZodIssue, isMissing: boolean): string {
  if (!DEFAULT_MESSAGE.test(issue.message)) return issue.message;
  switch (issue.code) {
    case 'unrecognized_keys':
      return `unknown key ${issue.keys.join(', ')}; remove it or correct its spelling`;
    case 'invalid_type':
      return formatInvalidType(issue, isMissing);
    case 'too_big':
    case 'too_small':
      return formatRange(issue);
    case 'invalid_value':
      return `${isMissing ? 'missing' : 'not a known value'}; write one of ${issue.values.join(', ')}`;
    case 'invalid_format':
      return issue.format === 'date'
        ? 'not a date; write YYYY-MM-DD, such as 2027-03-31'
        : `not in the form ${issue.format}; correct it`;
    case 'not_multiple_of':
    case 'invalid_union':
    case 'invalid_key':
    case 'invalid_element':
    case 'custom':
      return `${issue.message}; correct it`;
    default:
      return issue satisfies never;
  }
}
