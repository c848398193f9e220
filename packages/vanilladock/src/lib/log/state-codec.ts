/**
 * Encodes folded state as text and decodes it. Plain data is JSON; Immutable.js collections are
 * tagged with their kind, so that decoding returns an equal value. Absent and undefined properties
 * are not distinguished.
 */
import { createHash } from 'node:crypto';
import { deflateSync, inflateSync } from 'node:zlib';
import { isOrdered, List, Map, OrderedMap, OrderedSet, Set } from 'immutable';
import { createFleetState, type FleetState } from './fleet-state.js';

const TAG = '#';
/** Version of the encoding; a state of another version is not decoded. */
const FORMAT = 1;
/** Largest state that is decompressed, in bytes. */
const MAX_STATE_BYTES = 67_108_864;

type Tag = 'map' | 'ordered-map' | 'set' | 'ordered-set' | 'list' | 'number';

/** Makes a tagged value. */
function makeTagged(tag: Tag, items: unknown): unknown {
  return { [TAG]: tag, items };
}

/** Encodes folded state as plain data. */
function encodeValue(value: unknown): unknown {
  if (typeof value === 'number' && !Number.isFinite(value)) {
    return makeTagged('number', String(value));
  }
  if (Map.isMap(value)) {
    const items = [...value].map(([key, item]) => [encodeValue(key), encodeValue(item)]);
    return makeTagged(isOrdered(value) ? 'ordered-map' : 'map', items);
  }
  if (Set.isSet(value)) {
    return makeTagged(isOrdered(value) ? 'ordered-set' : 'set', [...value].map(encodeValue));
  }
  if (List.isList(value)) return makeTagged('list', [...value].map(encodeValue));
  if (Array.isArray(value)) return value.map(encodeValue);
  if (typeof value !== 'object' || value === null) return value;
  return Object.fromEntries(Object.entries(value).map(([key, item]) => [key, encodeValue(item)]));
}

/** Builds a collection from its tag and plain items. */
function decodeTagged(tag: Tag, items: unknown): unknown {
  if (tag === 'number') return Number(items);
  const list = (items as readonly unknown[]).map(decodeValue);
  switch (tag) {
    case 'map':
      return Map(list as [unknown, unknown][]);
    case 'ordered-map':
      return OrderedMap(list as [unknown, unknown][]);
    case 'set':
      return Set(list);
    case 'ordered-set':
      return OrderedSet(list);
    case 'list':
      return List(list);
    default:
      return tag satisfies never;
  }
}

/** Decodes plain data to folded state. */
function decodeValue(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(decodeValue);
  if (typeof value !== 'object' || value === null) return value;
  const tagged = value as { [TAG]?: Tag; items?: unknown };
  if (tagged[TAG] !== undefined) return decodeTagged(tagged[TAG], tagged.items);
  return Object.fromEntries(Object.entries(value).map(([key, item]) => [key, decodeValue(item)]));
}

/** Computes the checksum of an encoded state. */
function computeChecksum(text: string): string {
  return createHash('sha256').update(text).digest('hex').slice(0, 16);
}

/** Encodes the fleet's state as compressed text with a checksum. */
export function encodeFleetState(state: FleetState): string {
  const plain = JSON.stringify({ format: FORMAT, state: encodeValue(state) });
  const body = deflateSync(plain).toString('base64');
  return `${computeChecksum(body)}.${body}`;
}

/**
 * Decodes the fleet's state; undefined when the text is corrupt, of another format, or larger than
 * the limit once decompressed. A domain that the text lacks gets its initial state.
 */
export function decodeFleetState(text: string): FleetState | undefined {
  const [checksum = '', body = ''] = text.split('.');
  if (computeChecksum(body) !== checksum) return undefined;
  try {
    const limits = { maxOutputLength: MAX_STATE_BYTES };
    const plain = inflateSync(Buffer.from(body, 'base64'), limits).toString('utf8');
    const { format, state } = JSON.parse(plain) as { format: number; state: unknown };
    if (format !== FORMAT) return undefined;
    return { ...createFleetState(), ...(decodeValue(state) as FleetState) };
  } catch {
    return undefined;
  }
}
