/**
 * Judges operators' answers by the log's own texts, independently of the fold: of the publications in
 * the order of the log, each made from the version that the one before it left is accepted.
 */
import type { PublishAnswer } from '@vanilladock/daemon/lib/cli/publish.js';

/** An answer and who got it; authors are unique for each publication. */
export interface JudgedAnswer {
  readonly by: string;
  readonly answer: PublishAnswer;
}

/** What is wrong with the answers. */
export interface Judgement {
  readonly falseAnswers: number;
  /** Accepted publications that are not part of the log's chain of versions. */
  readonly lost: number;
  /** The version that must be in force. */
  readonly version: number;
}

interface Published {
  readonly by: string;
  readonly offset: number;
  readonly isAccepted: boolean;
}

/** Replays the log's publications; all their texts are known to be valid. */
function listPublished(texts: readonly string[]): readonly Published[] {
  let version = -1;
  return texts.flatMap((text, offset) => {
    const record = JSON.parse(text) as { kind: string; by: string; base: number };
    if (record.kind !== 'config.publication') return [];
    const isAccepted = record.base === version;
    if (isAccepted) version = offset;
    return [{ by: record.by, offset, isAccepted }];
  });
}

/** Says whether an answer is untrue; `unknown` claims nothing. */
function isFalse(answer: PublishAnswer, published: Published | undefined): boolean {
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

/** Judges answers against all texts that the log ever took in. */
export function checkAnswers(
  texts: readonly string[],
  answers: readonly JudgedAnswer[],
): Judgement {
  const published = new Map(listPublished(texts).map((one) => [one.by, one]));
  const accepted = [...published.values()].filter(({ isAccepted }) => isAccepted);
  const judged = answers.map(({ by, answer }) => ({ answer, published: published.get(by) }));
  return {
    falseAnswers: judged.filter((one) => isFalse(one.answer, one.published)).length,
    lost: judged.filter(
      (one) => one.answer.kind === 'accepted' && one.published?.isAccepted !== true,
    ).length,
    version: accepted.at(-1)?.offset ?? -1,
  };
}
