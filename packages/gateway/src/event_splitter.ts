/** Splits a stream of bytes into complete server-sent events. */

import {CollectedBytes} from '@snipestage/connection/collected_bytes.js';

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
/** A line that is neither blank nor a comment. */
const FIELD_LINE = /(?:^|[\r\n])[^:\r\n]/;
const ENDS_INSIDE_LINE = /[^\r\n]$/;
const NO_BYTES = Buffer.alloc(0);

/**
 * Emits complete events only. If an endpoint stops in the middle of an event,
 * the caller's stream still ends at the end of an event, so that it can be
 * resumed. Lines end with a line feed, a carriage return or both (HTML Living
 * Standard, section 9.2.6).
 *
 * Each byte is read once, however the bytes are split.
 */
export class EventSplitter {
  private readonly rest = new CollectedBytes();
  private isAtStart = true;
  private isLineBlank = true;
  /** Whether the block has a line that isn't blank. */
  private hasLine = false;
  /** Whether the line before ended with a carriage return alone. */
  private endsWithReturn = false;
  /** The last byte is a carriage return; a line feed may belong to it. */
  private isReturnOpen = false;
  /** Number of complete events so far. */
  eventCount = 0;

  /** Whether bytes have arrived of an event that is not complete. */
  get hasPartialEvent(): boolean {
    const text = this.readText(this.rest.toBuffer());
    return FIELD_LINE.test(text) || ENDS_INSIDE_LINE.test(text);
  }

  /** Number of bytes after the last complete event. */
  get restBytes(): number {
    return this.rest.length;
  }

  /**
   * Adds bytes and returns the events that are complete now.
   *
   * @example
   * for (const event of splitter.push(chunk)) response.write(event.bytes);
   */
  push(chunk: Buffer): ServerSentEvent[] {
    const events: ServerSentEvent[] = [];
    let begin = 0;
    for (;;) {
      const end = this.findBlockEnd(chunk, begin);
      if (end === undefined) break;
      events.push(this.takeBlock(chunk.subarray(begin, end)));
      begin = end;
    }
    this.rest.append(chunk.subarray(begin));
    return events;
  }

  /** Returns the event that is complete since no more bytes come, if any. */
  end(): ServerSentEvent[] {
    const isComplete = this.isReturnOpen && this.isLineBlank && this.hasLine;
    return isComplete ? [this.takeBlock(NO_BYTES)] : [];
  }

  /** Removes and returns the bytes after the last complete event. */
  takeRest(): Buffer {
    return this.rest.take();
  }

  /**
   * Position after the blank line that ends the block; undefined if missing.
   * Blank lines before the block's first line belong to it.
   *
   * A carriage return at the end of the bytes may be the first half of a line
   * ending. It ends the block only if the line before ended with one alone: such
   * endpoints would otherwise have each event held up until the next one.
   */
  private findBlockEnd(bytes: Buffer, begin: number): number | undefined {
    for (let position = begin; position < bytes.length; position += 1) {
      const byte = bytes[position];
      if (this.isReturnOpen) {
        const hasBoth = byte === LINE_FEED;
        const end = hasBoth ? position + 1 : position;
        if (this.endLine(!hasBoth)) return end;
        if (hasBoth) continue;
      }
      if (byte === CARRIAGE_RETURN) this.isReturnOpen = true;
      else if (byte !== LINE_FEED) this.isLineBlank = false;
      else if (this.endLine(false)) return position + 1;
    }
    const isEnd =
      this.isReturnOpen &&
      this.isLineBlank &&
      this.hasLine &&
      this.endsWithReturn &&
      begin < bytes.length;
    return isEnd ? bytes.length : undefined;
  }

  /** @returns whether the line ends its block. */
  private endLine(endsWithReturn: boolean): boolean {
    this.isReturnOpen = false;
    const isEnd = this.isLineBlank && this.hasLine;
    if (!this.isLineBlank) this.hasLine = true;
    this.isLineBlank = true;
    this.endsWithReturn = endsWithReturn;
    return isEnd;
  }

  private takeBlock(end: Buffer): ServerSentEvent {
    const bytes = this.restBytes === 0 ? end : this.takeWith(end);
    const text = this.readText(bytes);
    this.isAtStart = false;
    this.isReturnOpen = false;
    this.isLineBlank = true;
    this.hasLine = false;
    this.endsWithReturn = false;
    const id = ID_FIELD.exec(text)?.[1];
    const isEvent = id !== undefined || DATA_FIELD.test(text);
    if (isEvent) this.eventCount += 1;
    return {bytes, id, isEvent};
  }

  private takeWith(end: Buffer): Buffer {
    this.rest.append(end);
    return this.rest.take();
  }

  private readText(bytes: Buffer): string {
    const text = bytes.toString('latin1');
    const hasMark = this.isAtStart && text.startsWith(BYTE_ORDER_MARK);
    return hasMark ? text.slice(BYTE_ORDER_MARK.length) : text;
  }
}
