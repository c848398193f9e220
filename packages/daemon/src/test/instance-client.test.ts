/** Tests of the instance list client: entity tags, compression and outages. */
import { startInstanceServer } from '@vanilladock/stand-ins';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import type { Instance } from 'vanilladock';
import { controlMeter } from '../lib/control-bytes.js';
import { createInstanceClient } from '../lib/platform/instance-client.js';

const buildInstance = (index: number): Instance => ({
  id: `worker-${index}`,
  role: 'worker',
  address: `10.0.${Math.floor(index / 250)}.${index % 250}:7000`,
  location: { region: 'tasmania', dataCentre: 'hobart', rack: `rack-${index % 40}` },
  state: 'live',
  attributes: { generation: 'b' },
});

const INSTANCES = Array.from({ length: 950 }, (_, index) => buildInstance(index));
const countBytes = () => controlMeter.getBytes().get('instances') ?? 0;

const test = suite('instance client');

test('an unchanged list is returned as the same value and costs few bytes', async () => {
  const server = await startInstanceServer();
  server.setInstances(INSTANCES);
  const client = createInstanceClient(server.address);
  const first = (await client.fetch()).unwrap();
  const firstBytes = countBytes();
  const second = (await client.fetch()).unwrap();
  assert.equal(first, INSTANCES);
  assert.is(second, first);
  assert.ok(firstBytes < JSON.stringify(INSTANCES).length / 4, `${firstBytes} bytes`);
  assert.ok(countBytes() - firstBytes < 600, `${countBytes() - firstBytes} bytes`);
  await server.close();
});

test('an outage is reported as an error and a later change is received', async () => {
  const server = await startInstanceServer();
  server.setInstances(INSTANCES.slice(0, 2));
  const client = createInstanceClient(server.address);
  await client.fetch();
  server.setDown(true);
  assert.ok((await client.fetch()).isErr());
  server.setDown(false);
  server.setInstances(INSTANCES.slice(0, 1));
  assert.is((await client.fetch()).unwrap().length, 1);
  await server.close();
});

test.run();
