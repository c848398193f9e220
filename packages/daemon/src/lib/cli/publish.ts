/**
 * Publishes a configuration: appends it with the version it was made from, then reads the log back to
 * learn whether it was accepted. The answer is a fact or `unknown`, never a guess.
 */
import { randomUUID } from 'node:crypto';
import {
  createConfigState,
  decodeRecord,
  encodeRecord,
  foldConfig,
  type ConfigRecord,
  type ConfigState,
  type LogService,
  type PublicationFate,
} from 'vanilladock';

/** What is known of a publication. */
export type PublishAnswer =
  PublicationFate | { readonly kind: 'unknown'; readonly message: string };

const READ_BACK_TRIES = 10;
const READ_BACK_WAIT_MS = 500;

/** Reads the configuration state from the whole log. */
export async function readConfigState(service: LogService): Promise<ConfigState | undefined> {
  let state = createConfigState();
  let next = 0;
  for (;;) {
    const slice = await service.read(next, 0);
    if (slice.isErr()) return undefined;
    slice.value.records.forEach(({ offset, text }) => {
      const record = decodeRecord(text);
      if (!record?.kind.startsWith('config.')) return;
      state = foldConfig(state, { offset, record: record as ConfigRecord });
    });
    next = (slice.value.records.at(-1)?.offset ?? slice.value.next - 1) + 1;
    if (next >= slice.value.next) return state;
  }
}

/** Publishes YAML text made from version `base`; resolves to what is known of it. */
export async function publishConfig(
  service: LogService,
  publication: { readonly text: string; readonly base: number; readonly by: string },
): Promise<PublishAnswer> {
  const id = randomUUID();
  const head = { version: 1, id, at: Date.now() } as const;
  await service.append([encodeRecord({ kind: 'config.publication', ...head, ...publication })]);
  for (let tries = 0; tries < READ_BACK_TRIES; tries += 1) {
    const fate = (await readConfigState(service))?.fates.get(id);
    if (fate !== undefined) return fate;
    await new Promise((resolve) => {
      setTimeout(resolve, READ_BACK_WAIT_MS);
    });
  }
  return { kind: 'unknown', message: `the log shows no record ${id}; look again with history` };
}
