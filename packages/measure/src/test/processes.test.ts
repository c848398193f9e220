/** Tests starting real daemons and stand-ins as child processes, and their graceful shutdown. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import {
  startEntryProcess,
  startInstancesProcess,
  startLogProcess,
  startUpstreamProcess,
} from '../lib/processes.js';

const test = suite('processes');

test('an entry and its stand-ins start, show their addresses and end on SIGTERM', async () => {
  const [log, instances, upstream] = await Promise.all([
    startLogProcess(),
    startInstancesProcess(),
    startUpstreamProcess({ service: 'prices', slots: 8, workMs: 0, noticeMs: 0 }),
  ]);
  const platform = { log: log.address, instances: instances.address };
  const entry = await startEntryProcess({ id: 'entry-1', platform });
  const live = await fetch(`http://${entry.addresses.operators}/live`);
  assert.is(live.status, 200);
  const direct = await fetch(`http://${upstream.address}/x`, {
    headers: { 'vanilladock-request-id': 'a' },
  });
  assert.is(direct.status, 200);
  const ledger = await fetch(`http://${upstream.address}/ledger`);
  assert.equal(await ledger.json(), { ran: { a: 1 } });
  const codes = await Promise.all(
    [entry, log, instances, upstream].map((process) => process.stop()),
  );
  assert.equal(codes, [0, 0, 0, 0]);
});

test('a process that exits before it has started is reported with its exit code', async () => {
  try {
    await startEntryProcess({ id: '', platform: { log: '127.0.0.1:1', instances: '127.0.0.1:1' } });
    assert.unreachable();
  } catch (error) {
    assert.match(String(error), /ended with 2/);
  }
});

test.run();
