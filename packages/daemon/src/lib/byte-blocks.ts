/**
 * Bytes that arrive in pieces, copied into blocks. Load pattern: bodies in chunks of a byte or two; kept
 * one by one, each would take a hundred times its size, and hold on to the whole piece that was read
 * with it.
 */

/** Collected bytes. */
export interface ByteBlocks {
  readonly add: (bytes: Buffer) => void;
  /** Lists the bytes in order, in few buffers. */
  readonly list: () => readonly Buffer[];
}

/** Sizes of the first block and of the others in bytes; the last one may be partly unused. */
const FIRST_BLOCK_BYTES = 512;
const BLOCK_BYTES = 4_096;

/** Creates an empty collection. */
export function createByteBlocks(): ByteBlocks {
  const blocks: Buffer[] = [];
  /** Bytes that are used of the last block. */
  let used = 0;
  const addBlock = (): Buffer => {
    const isFirst = blocks.length === 0;
    const block = Buffer.allocUnsafeSlow(isFirst ? FIRST_BLOCK_BYTES : BLOCK_BYTES);
    blocks.push(block);
    used = 0;
    return block;
  };
  const addPart = (bytes: Buffer): number => {
    const last = blocks.at(-1);
    const block = last === undefined || used === last.length ? addBlock() : last;
    const copied = bytes.copy(block, used);
    used += copied;
    return copied;
  };
  return {
    add: (bytes) => {
      for (let from = 0; from < bytes.length; from += addPart(bytes.subarray(from)));
    },
    list: () =>
      blocks.map((block, index) => (index < blocks.length - 1 ? block : block.subarray(0, used))),
  };
}
