/**
 * Stand-in for the platform's store, after PROTOCOL.md, "The platform's metadata store": topics with
 * partitions, conditional appends, producers, reads that wait, and the newest record of each key.
 */
import { startServer, wait } from './http.mjs';

const LENGTH_BYTES = 4;
const PAGE_ITEMS = 500;
const PAGE_BYTES = 1_000_000;
const RETAINED_ANSWERS = 5;

function parseFrames(body) {
  const frames = [];
  let position = 0;
  while (position + LENGTH_BYTES <= body.length) {
    const length = body.readUInt32BE(position);
    const start = position + LENGTH_BYTES;
    frames.push(Buffer.from(body.subarray(start, start + length)));
    position = start + length;
  }
  return frames;
}

function encodeFrame(content) {
  const head = Buffer.alloc(LENGTH_BYTES);
  head.writeUInt32BE(content.length);
  return Buffer.concat([head, content]);
}

function makeKeyed(key, value) {
  const keyBytes = Buffer.isBuffer(key) ? key : Buffer.from(key);
  return Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, Buffer.from(value ?? '')]);
}

/** Starts a store; each answer takes `answerMs`, each append `appendMs` more. */
export async function startStore({ answerMs = 4, appendMs = 4, keepMs = 20_000 } = {}) {
  const partitions = new Map();
  const getPartition = (topic, part) => {
    const name = `${topic}/${part}`;
    if (!partitions.has(name)) {
      partitions.set(name, {
        records: [],
        first: 0,
        producers: new Map(),
        waiting: new Set(),
        newest: new Map(),
        sortedKeys: undefined,
      });
    }
    return partitions.get(name);
  };
  const add = (partition, frames) => {
    const offset = partition.first + partition.records.length;
    frames.forEach((content, index) => {
      partition.records.push({ content, atMs: performance.now() });
      const keyEnd = 1 + content.readUInt8(0);
      const key = content.toString('latin1', 1, keyEnd);
      if (!partition.newest.has(key)) partition.sortedKeys = undefined;
      if (content.length > keyEnd) {
        partition.newest.set(key, { value: content.subarray(keyEnd), offset: offset + index });
      } else {
        partition.newest.delete(key);
        partition.sortedKeys = undefined;
      }
    });
    const expiredMs = performance.now() - keepMs;
    while (partition.records.length > 0 && partition.records[0].atMs < expiredMs) {
      partition.records.shift();
      partition.first += 1;
    }
    [...partition.waiting].forEach((wake) => wake());
    return { status: 200, body: { offset, end: partition.first + partition.records.length } };
  };
  const append = async ({ query, body }) => {
    await wait(appendMs);
    const partition = getPartition(query.get('topic'), query.get('part'));
    const end = partition.first + partition.records.length;
    if (query.has('at') && Number(query.get('at')) !== end) return { status: 412, body: { end } };
    const frames = parseFrames(body);
    const producer = query.get('producer');
    if (producer === null) return add(partition, frames);
    const epoch = Number(query.get('epoch'));
    const sequence = Number(query.get('sequence'));
    const known = partition.producers.get(producer);
    if (known !== undefined && epoch < known.epoch) {
      return { status: 409, body: { reason: 'fenced' } };
    }
    const isSame = known?.epoch === epoch;
    if (isSame && known.recent.has(sequence)) return known.recent.get(sequence);
    if (isSame && sequence !== known.sequence + 1) {
      return { status: 409, body: { reason: 'seq', expected: known.sequence + 1 } };
    }
    const answer = add(partition, frames);
    const recent = new Map(isSame ? known.recent : []).set(sequence, answer);
    recent.delete(sequence - RETAINED_ANSWERS);
    partition.producers.set(producer, { epoch, sequence, recent });
    return answer;
  };
  const read = async ({ query }) => {
    const partition = getPartition(query.get('topic'), query.get('part'));
    const from = Number(query.get('from'));
    if (from < partition.first) return { status: 410, body: { first: partition.first } };
    if (from >= partition.first + partition.records.length) {
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          partition.waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, Number(query.get('wait_ms') ?? 0));
        partition.waiting.add(wake);
      });
    }
    if (from < partition.first) return { status: 410, body: { first: partition.first } };
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(partition.first + partition.records.length), 0);
    head.writeBigUInt64BE(BigInt(partition.first), 8);
    const frames = [];
    let bytes = 0;
    for (const { content } of partition.records.slice(from - partition.first)) {
      if (bytes > 1_048_576) break;
      frames.push(encodeFrame(content));
      bytes += content.length;
    }
    return { status: 200, body: Buffer.concat([head, ...frames]) };
  };
  const listNewest = ({ query }) => {
    const partition = getPartition(query.get('topic'), query.get('part'));
    partition.sortedKeys ??= [...partition.newest.keys()].sort();
    const after = Buffer.from(query.get('depends_on') ?? '').toString('latin1');
    const keys = partition.sortedKeys;
    let low = 0;
    let high = keys.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if (keys[middle] > after) high = middle;
      else low = middle + 1;
    }
    const items = [];
    let bytes = 0;
    let index = low;
    for (; index < keys.length && items.length < PAGE_ITEMS && bytes < PAGE_BYTES; index += 1) {
      const { value, offset } = partition.newest.get(keys[index]);
      const key = Buffer.from(keys[index], 'latin1').toString();
      items.push({ key, value: value.toString('base64'), offset });
      bytes += value.length;
    }
    const end = partition.first + partition.records.length;
    return { status: 200, body: { items, has_more: index < keys.length, end } };
  };
  const server = await startServer(async (message) => {
    await wait(answerMs);
    switch (message.path) {
      case '/log-append':
        return append(message);
      case '/log-read':
        return read(message);
      case '/log-newest':
        return listNewest(message);
      default:
        return { status: 404 };
    }
  });
  return {
    address: server.address,
    close: server.close,
    /** Writes a record as the operator, a minion or another writer does; no value deletes the key. */
    write: (topic, key, value) => add(getPartition(topic, '0'), [makeKeyed(key, value)]),
    /** Lists the newest records of a topic as `{ part, key, value }`. */
    listNewest: (topicPrefix) =>
      [...partitions].flatMap(([name, { newest }]) =>
        name.startsWith(topicPrefix)
          ? [...newest].map(([key, { value }]) => ({ name, key, value: value.toString() }))
          : [],
      ),
    /** Puts newest records into a partition whose history has expired. */
    putExpired: (name, records) => {
      const [topic, part] = name.split('/');
      const partition = getPartition(topic, part);
      const newFirst = partition.first + partition.records.length + records.length;
      records.forEach(([key, value], index) => {
        const offset = partition.first + partition.records.length + index;
        partition.newest.set(key, { value: Buffer.from(value), offset });
      });
      partition.sortedKeys = undefined;
      partition.records = [];
      partition.first = newFirst;
      [...partition.waiting].forEach((wake) => wake());
    },
  };
}
