/**
 * Checks operators' answers against the raw records of the log, independently of the fold: in the
 * order of the log, a publication is accepted when its base is the version that the last accepted
 * one created.
 */
import type { PublishAnswer } from '@vanilladock/daemon/lib/cli/publish.js';

/** An answer and the author of its publication; each publication has a unique author. */
export interface JudgedAnswer {
  readonly by: string;
  readonly answer: PublishAnswer;
}

/** Result of the check. */
export interface Judgement {
  /** Answers that contradict the log. */
  readonly falseAnswers: number;
  /** Publications answered as accepted that are not part of the log's chain of versions. */
  readonly lost: number;
  /** The version that must be in force at the end; -1 without an accepted publication. */
  readonly version: number;
}

interface Publication {
  readonly by: string;
  readonly offset: number;
  readonly isAccepted: boolean;
}

/** Replays the log's publications; their configuration texts are all valid. */
function listPublications(texts: readonly string[]): readonly Publication[] {
  let version = -1;
  return texts.flatMap((text, offset) => {
    const record = JSON.parse(text) as { kind: string; by: string; base: number };
    if (record.kind !== 'config.publication') return [];
    const isAccepted = record.base === version;
    if (isAccepted) version = offset;
    return [{ by: record.by, offset, isAccepted }];
  });
}

/** Says whether an answer is false; `unknown` never is. */
function isFalse(answer: PublishAnswer, published: Publication | undefined): boolean {
  switch (answer.kind) {
    case 'accepted':
      return published?.isAccepted !== true || published.offset !== answer.offset;
    case 'superseded':
      return published?.isAccepted === true;
    case 'invalid':
      return true;
    case 'not-published':
      return published !== undefined;
    case 'unknown':
      return false;
    default:
      return answer satisfies never;
  }
}

/** Checks answers against all records that the log has ever stored. */
export function checkAnswers(
  texts: readonly string[],
  answers: readonly JudgedAnswer[],
): Judgement {
  const published = new Map(
    listPublications(texts).map((publication) => [publication.by, publication]),
  );
  const accepted = [...published.values()].filter(({ isAccepted }) => isAccepted);
  const judged = answers.map(({ by, answer }) => ({ answer, published: published.get(by) }));
  return {
    falseAnswers: judged.filter((item) => isFalse(item.answer, item.published)).length,
    lost: judged.filter(
      (item) => item.answer.kind === 'accepted' && item.published?.isAccepted !== true,
    ).length,
    version: accepted.at(-1)?.offset ?? -1,
  };
}
