/** `status`: fetches and shows the status of one or more entries from their operators' ports. */
import type { EntryStatus } from '../operators/status.js';
import { KEY_HEADER } from '../keys.js';
import { EXIT_CODES, type ExitCode } from './exit-codes.js';
import type { Output } from './output.js';

/** The answer of one entry, or why there is none. */
export type StatusAnswer =
  | { readonly kind: 'status'; readonly address: string; readonly status: EntryStatus }
  | { readonly kind: 'unreachable'; readonly address: string; readonly message: string };

const TIMEOUT_MS = 3_000;

/** Fetches the status of one entry; never rejects. */
async function fetchStatus(address: string, key: string): Promise<StatusAnswer> {
  try {
    const answer = await fetch(`http://${address}/status.json`, {
      headers: { [KEY_HEADER]: key },
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    if (answer.ok) return { kind: 'status', address, status: (await answer.json()) as EntryStatus };
    return { kind: 'unreachable', address, message: await answer.text() };
  } catch (error) {
    return { kind: 'unreachable', address, message: String((error as Error).message) };
  }
}

/** Formats one entry's answer as a line. */
function formatAnswer(answer: StatusAnswer, output: Output): string {
  switch (answer.kind) {
    case 'unreachable':
      return `${answer.address}  ${output.formatBad('unreachable')}  ${answer.message.trim()}`;
    case 'status': {
      const { id, isReady, isDraining, configVersion, upstreams, answers, refusals } =
        answer.status;
      const state = isDraining ? 'draining' : 'not ready';
      const readiness = isReady ? output.formatGood('ready') : output.formatBad(state);
      const refused = refusals.reduce((sum, { count }) => sum + count, 0);
      return `${id}  ${readiness}  config ${configVersion}  upstreams ${upstreams.length}  answered ${answers}  refused ${refused}`;
    }
    default:
      return answer satisfies never;
  }
}

/** Runs `status` for the `ip:port` of operators' ports; resolves to the exit code. */
export async function reportStatus(
  addresses: readonly string[],
  key: string,
  output: Output,
): Promise<ExitCode> {
  const answers = await Promise.all(addresses.map((address) => fetchStatus(address, key)));
  output.write(
    { entries: answers },
    answers.map((answer) => formatAnswer(answer, output)).join('\n'),
  );
  const areAllReachable = answers.every(({ kind }) => kind === 'status');
  return areAllReachable ? EXIT_CODES.ok : EXIT_CODES.unreachable;
}
