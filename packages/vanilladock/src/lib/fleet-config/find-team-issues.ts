/** Finds teams whose keys or limits serve nobody. */
import { RESOURCE_NAMES } from '../placement/resources.js';
import type { Resources } from '../ports/workers.js';
import { makeKeyLabel, type TeamKeys } from '../teams/team-directory.js';
import type { ConfigIssue, ConfigIssueKind, FleetDraft } from './fleet-draft.js';

/** A key can only be presented if it consists of visible ASCII characters. */
const KEY_PATTERN = /^[!-~]+$/;

/** Finds the issues of a team's keys; keys appear in messages only by their labels. */
function findKeyIssues(teams: readonly TeamKeys[], index: number): ConfigIssue[] {
  const { keys = [] } = teams[index] ?? {};
  const place = `teams[${index}].keys`;
  if (keys.length === 0) {
    return [{ kind: 'never-matches', place, message: 'no key: the team can call nothing' }];
  }
  return keys.flatMap((key, position): readonly ConfigIssue[] => {
    const makeIssue = (kind: ConfigIssueKind, message: string): ConfigIssue => {
      return { kind, place: `${place}[${position}]`, message };
    };
    const owner = teams.findIndex((other, number) => number < index && other.keys.includes(key));
    return [
      ...(KEY_PATTERN.test(key) ? [] : [makeIssue('never-matches', 'no call can carry this key')]),
      ...(owner >= 0
        ? [
            makeIssue(
              'invalid',
              `key ${makeKeyLabel(key)} is also one of an earlier team (${teams[owner]?.team.name})`,
            ),
          ]
        : []),
      ...(keys.indexOf(key) < position
        ? [makeIssue('invalid', `key ${makeKeyLabel(key)} stands here twice`)]
        : []),
    ];
  });
}

/** Finds limits of a team that leave nothing to run; `task` is the size of its largest task. */
function findLimitIssues(
  { team }: TeamKeys,
  index: number,
  task: Resources | undefined,
): ConfigIssue[] {
  const place = `teams[${index}]`;
  const tooSmall = RESOURCE_NAMES.filter(
    (name) => team.limit[name] > 0 && task !== undefined && task[name] > team.limit[name],
  );
  const negative = RESOURCE_NAMES.filter((name) => team.limit[name] < 0);
  return [
    ...(team.jobsPerSecond > 0
      ? []
      : [
          {
            kind: 'contradiction' as const,
            place: `${place}.jobsPerSecond`,
            message: 'a share of nothing: every job counts as beyond the rate',
          },
        ]),
    ...[...tooSmall, ...negative].map((name) => ({
      kind: 'contradiction' as const,
      place: `${place}.limit.${name}`,
      message: 'below one task: no job of this size can ever run',
    })),
  ];
}

/** Finds the issues of all teams; `task` is the largest task that the teams run, if known. */
export function findTeamIssues(
  { teams = [] }: FleetDraft,
  task: Resources | undefined,
): readonly ConfigIssue[] {
  return teams.flatMap((entry, index): readonly ConfigIssue[] => {
    const isRepeated = teams.findIndex(({ team }) => team.name === entry.team.name) < index;
    const repeated: ConfigIssue = {
      kind: 'invalid',
      place: `teams[${index}].name`,
      message: `${JSON.stringify(entry.team.name)} is the name of an earlier team`,
    };
    return [
      ...(isRepeated ? [repeated] : []),
      ...findKeyIssues(teams, index),
      ...findLimitIssues(entry, index, task),
    ];
  });
}
