/** Collects the parts of a body in few objects. */

const MIN_BLOCK_BYTES = 1024;
const MAX_BLOCK_BYTES = 65_536;
/** Unused blocks that are kept for the next body. */
const MAX_SPARE_BLOCKS = 64;

/**
 * Blocks of the largest size. Memory outside of the heap is freed late: bodies
 * that are dropped would add up.
 */
const spareBlocks: Buffer[] = [];

/**
 * Copies parts into blocks. Kept as they come, parts of a few bytes each occupy
 * many times their size: every part is an object, and keeps the buffer that it
 * was read into.
 */
export class CollectedBytes {
  private blocks: Buffer[] = [];
  /** Bytes used of the last block. */
  private usedBytes = 0;
  private totalBytes = 0;
  private allocatedBytes = 0;

  get length(): number {
    return this.totalBytes;
  }

  /** Bytes of the blocks, used or not. */
  get blockBytes(): number {
    return this.allocatedBytes;
  }

  /**
   * @example
   * response.on('data', part => collected.append(part));
   */
  append(part: Buffer): void {
    let offset = 0;
    while (offset < part.length) {
      const block = this.blockWithRoom(part.length - offset);
      const copied = part.copy(block, this.usedBytes, offset);
      this.usedBytes += copied;
      this.totalBytes += copied;
      offset += copied;
    }
  }

  /** Returns all bytes, which stay. */
  toBuffer(): Buffer {
    const {blocks, totalBytes} = this;
    if (blocks.length === 1) return blocks[0].subarray(0, totalBytes);
    return Buffer.concat(blocks, totalBytes);
  }

  /** Removes and returns all bytes. */
  take(): Buffer {
    const bytes = this.toBuffer();
    // A single block is what has been returned.
    if (this.blocks.length === 1) this.blocks = [];
    this.discard();
    return bytes;
  }

  /** Removes all bytes. */
  discard(): void {
    for (const block of this.blocks) {
      const isReusable = block.length === MAX_BLOCK_BYTES;
      if (isReusable && spareBlocks.length < MAX_SPARE_BLOCKS)
        spareBlocks.push(block);
    }
    this.blocks = [];
    this.usedBytes = 0;
    this.totalBytes = 0;
    this.allocatedBytes = 0;
  }

  private blockWithRoom(bytes: number): Buffer {
    const last = this.blocks.at(-1);
    if (last !== undefined && this.usedBytes < last.length) return last;
    const wantedBytes = Math.max(MIN_BLOCK_BYTES, bytes, this.totalBytes);
    const blockBytes = Math.min(MAX_BLOCK_BYTES, wantedBytes);
    const spare =
      blockBytes === MAX_BLOCK_BYTES ? spareBlocks.pop() : undefined;
    const block = spare ?? Buffer.allocUnsafeSlow(blockBytes);
    this.blocks.push(block);
    this.allocatedBytes += block.length;
    this.usedBytes = 0;
    return block;
  }
}
