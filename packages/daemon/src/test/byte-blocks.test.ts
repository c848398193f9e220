/** Tests of bytes that arrive in pieces of any size. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { createByteBlocks } from '../lib/byte-blocks.js';

const test = suite('byte blocks');

// Guards against a buffer for each byte of a body that comes in chunks of one.
test('single bytes are kept in few buffers, in order', () => {
  const blocks = createByteBlocks();
  const text = Array.from({ length: 9_000 }, (_, index) => String(index % 10)).join('');
  [...text].forEach((digit) => blocks.add(Buffer.from(digit)));
  assert.is(blocks.list().length, 4);
  assert.is(Buffer.concat(blocks.list()).toString(), text);
});

test('pieces larger than a block are kept whole, and none is kept as nothing', () => {
  const blocks = createByteBlocks();
  assert.equal(blocks.list(), []);
  const pieces = [Buffer.alloc(0), Buffer.alloc(300, 'a'), Buffer.alloc(20_000, 'b')];
  pieces.forEach(blocks.add);
  assert.ok(Buffer.concat(blocks.list()).equals(Buffer.concat(pieces)));
});

test('a piece may change after it was added', () => {
  const blocks = createByteBlocks();
  const piece = Buffer.from('before');
  blocks.add(piece);
  piece.write('after!');
  assert.is(Buffer.concat(blocks.list()).toString(), 'before');
});

test.run();
