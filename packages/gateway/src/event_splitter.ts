/** Splits a stream of bytes into complete server-sent events. */

/** A block of lines, including the blank line that ends it. */
export interface ServerSentEvent {
  readonly bytes: Buffer;
  /** Value of its `id` field; undefined without one. */
  readonly id: string | undefined;
  /** False for a block that has neither data nor an id, such as a comment. */
  readonly isEvent: boolean;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const BYTE_ORDER_MARK = '\u00ef\u00bb\u00bf';
const ID_FIELD = /(?:^|[\r\n])id: ?([^\r\n]*)/;
const DATA_FIELD = /(?:^|[\r\n])data(?:[:\r\n]|$)/;
/** Blank lines and complete comment lines. */
const NO_PART_OF_EVENT = /^(?:(?::[^\r\n]*)?[\r\n])*$/;

/**
 * Emits complete events only. If an endpoint stops in the middle of an event,
 * the caller's stream still ends at the end of an event, so that it can be
 * resumed. Lines end with a line feed, a carriage return or both (HTML Living
 * Standard, section 9.2.6).
 */
export class EventSplitter {
  private rest: Buffer = Buffer.alloc(0);
  private isAtStart = true;
  /** Number of complete events so far. */
  eventCount = 0;

  /** Whether bytes have arrived of an event that is not complete. */
  get hasPartialEvent(): boolean {
    return !NO_PART_OF_EVENT.test(this.readText(this.rest, this.isAtStart));
  }

  /**
   * Adds bytes and returns the events that are complete now.
   *
   * @example
   * for (const event of splitter.push(chunk)) response.write(event.bytes);
   */
  push(chunk: Buffer): ServerSentEvent[] {
    const bytes =
      this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    return this.takeBlocks(bytes, false);
  }

  /** Returns the events that are complete since no more bytes come. */
  end(): ServerSentEvent[] {
    return this.takeBlocks(this.rest, true);
  }

  /** Removes and returns the bytes after the last complete event. */
  takeRest(): Buffer {
    const rest = this.rest;
    this.rest = Buffer.alloc(0);
    return rest;
  }

  private takeBlocks(bytes: Buffer, isLast: boolean): ServerSentEvent[] {
    const events: ServerSentEvent[] = [];
    let begin = 0;
    for (;;) {
      const end = findBlockEnd(bytes, begin, isLast);
      if (end === undefined) break;
      events.push(this.readBlock(bytes.subarray(begin, end)));
      begin = end;
    }
    this.rest = bytes.subarray(begin);
    return events;
  }

  private readBlock(bytes: Buffer): ServerSentEvent {
    const text = this.readText(bytes, this.isAtStart);
    this.isAtStart = false;
    const id = ID_FIELD.exec(text)?.[1];
    const isEvent = id !== undefined || DATA_FIELD.test(text);
    if (isEvent) this.eventCount += 1;
    return {bytes, id, isEvent};
  }

  private readText(bytes: Buffer, isAtStart: boolean): string {
    const text = bytes.toString('latin1');
    const hasMark = isAtStart && text.startsWith(BYTE_ORDER_MARK);
    return hasMark ? text.slice(BYTE_ORDER_MARK.length) : text;
  }
}

/**
 * Position after the blank line that ends the block; undefined if missing. Blank
 * lines before the block's first line belong to it.
 *
 * A carriage return at the end of the bytes may be the first half of a line
 * ending. It ends the block only if the line before ended with one alone: such
 * endpoints would otherwise have each event held up until the next one.
 */
function findBlockEnd(
  bytes: Buffer,
  begin: number,
  isLast: boolean,
): number | undefined {
  let lineStart = begin;
  let hasLine = false;
  let endsWithReturn = false;
  for (let position = begin; position < bytes.length; position += 1) {
    const byte = bytes[position];
    if (byte !== LINE_FEED && byte !== CARRIAGE_RETURN) continue;
    const isBlank = position === lineStart;
    const isReturn = byte === CARRIAGE_RETURN;
    const hasBoth = isReturn && bytes[position + 1] === LINE_FEED;
    const isAmbiguous = isReturn && position + 1 === bytes.length;
    if (hasBoth) position += 1;
    if (isBlank && hasLine) {
      const isEnd = !isAmbiguous || isLast || endsWithReturn;
      return isEnd ? position + 1 : undefined;
    }
    if (!isBlank) hasLine = true;
    endsWithReturn = isReturn && !hasBoth;
    lineStart = position + 1;
  }
  return undefined;
}
