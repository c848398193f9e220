/** Tests of publishing: races, lost answers, outages, dropped records and invalid texts. */
import { buildSnapshot, createFleetState, encodeRecord, foldFleet } from 'vanilladock';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { publishConfig, readConfigState, readHistory } from '../lib/cli/publish.js';
import { CONFIG_TEXT, createFakeLog, encodePublication } from './fake-log.js';

const CHANGED = CONFIG_TEXT.replace('slots: 8', 'slots: 6');

const test = suite('publish');

test('of two racing operators one wins and the other learns who won and what changed', async () => {
  const fake = createFakeLog();
  fake.texts.push(encodePublication('first', -1));
  const answers = await Promise.all(
    ['ada', 'bo'].map((by) => publishConfig(fake.openClient(), { text: CHANGED, base: 0, by })),
  );
  const winner = answers.findIndex(({ kind }) => kind === 'accepted');
  const loser = answers[1 - winner];
  assert.is(loser?.kind, 'superseded');
  if (loser?.kind !== 'superseded') return;
  assert.is(loser.winnerBy, ['ada', 'bo'][winner]);
  assert.is(loser.version, 1);
  assert.equal(
    loser.changes.map(({ path, before, after }) => [path, before, after]),
    [['defaults.slots', 8, 6]],
  );
});

test('a publication based on an old version is refused without being sent', async () => {
  const fake = createFakeLog();
  fake.texts.push(encodePublication('first', -1), encodePublication('second', 0));
  const answer = await publishConfig(fake.openClient(), { text: CHANGED, base: 0, by: 'ada' });
  assert.is(answer.kind, 'superseded');
  assert.is(fake.texts.length, 2);
});

test('a lost answer is resolved by reading back the log', async () => {
  const fake = createFakeLog();
  const client = fake.openClient();
  client.losesAnswers = true;
  const answer = await publishConfig(client, { text: CONFIG_TEXT, base: -1, by: 'ada' });
  assert.equal(answer, { kind: 'accepted', offset: 0 });
});

test('a log that is down before publishing is reported as not published', async () => {
  const client = createFakeLog().openClient();
  client.isDown = true;
  const answer = await publishConfig(client, { text: CONFIG_TEXT, base: -1, by: 'ada' });
  assert.is(answer.kind, 'not-published');
});

test('a log that goes down after the append leaves the answer unknown', async () => {
  const fake = createFakeLog();
  const client = fake.openClient();
  const append: typeof client.append = async (texts) => {
    const answer = await client.append(texts);
    client.isDown = true;
    return answer;
  };
  const service = { append, read: client.read };
  const answer = await publishConfig(service, { text: CONFIG_TEXT, base: -1, by: 'ada' });
  assert.is(answer.kind, 'unknown');
  assert.is(fake.texts.length, 1);
});

test('an invalid text is not sent and its faults are reported', async () => {
  const fake = createFakeLog();
  const text = CONFIG_TEXT.replace('slots: 8', 'slots: 0');
  const answer = await publishConfig(fake.openClient(), { text, base: -1, by: 'ada' });
  assert.is(answer.kind === 'invalid' && answer.faults[0]?.path, 'defaults.slots');
  assert.is(fake.texts.length, 0);
});

test('a log that dropped the publication is read from a snapshot and unreadable without one', async () => {
  const fake = createFakeLog();
  fake.texts.push(encodePublication('ada', -1), 'noise');
  const state = fake.texts
    .map((text, offset) => ({ text, offset }))
    .reduce(foldFleet, createFleetState());
  fake.first = 1;
  assert.is(await readConfigState(fake.openClient()), undefined);
  const head = { version: 1, id: 'snap', by: 'entry-1', at: 0 } as const;
  fake.texts.push(...buildSnapshot(state, head).map(encodeRecord));
  assert.is((await readConfigState(fake.openClient()))?.version, 0);
  const history = await readHistory(fake.openClient());
  assert.equal(
    history?.map(({ by, fate }) => [by, fate.kind]),
    [['ada', 'accepted']],
  );
});

test.run();
