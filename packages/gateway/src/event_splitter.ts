/** Cuts a stream of bytes into whole server-sent events. */

/** An event with the blank line that ends it. */
export interface WholeEvent {
  readonly bytes: Buffer;
  /** Value of its `id` field. */
  readonly id: string | undefined;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = /^id: ?(.*)$/m;

/**
 * An endpoint may stop in the middle of an event. What the caller gets ends at
 * the end of an event all the same, so that the stream can be resumed.
 */
export class EventSplitter {
  private rest: Buffer = Buffer.alloc(0);

  /**
   * Takes in bytes and gives the events that are whole now.
   *
   * @example
   * for (const event of splitter.push(chunk)) response.write(event.bytes);
   */
  push(chunk: Buffer): WholeEvent[] {
    const bytes =
      this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    const events: WholeEvent[] = [];
    let begin = 0;
    for (;;) {
      const end = findEventEnd(bytes, begin);
      if (end === undefined) break;
      const event = bytes.subarray(begin, end);
      events.push({
        bytes: event,
        id: ID_FIELD.exec(event.toString('latin1'))?.[1],
      });
      begin = end;
    }
    this.rest = bytes.subarray(begin);
    return events;
  }

  /** Bytes after the last whole event. */
  takeRest(): Buffer {
    const rest = this.rest;
    this.rest = Buffer.alloc(0);
    return rest;
  }
}

/** Position after the blank line that ends the event, if it is there. */
function findEventEnd(bytes: Buffer, begin: number): number | undefined {
  let lineFeed = bytes.indexOf(LINE_FEED, begin);
  while (lineFeed >= 0) {
    const next = lineFeed + 1;
    if (bytes[next] === LINE_FEED) return next + 1;
    if (bytes[next] === CARRIAGE_RETURN && bytes[next + 1] === LINE_FEED) {
      return next + 2;
    }
    lineFeed = bytes.indexOf(LINE_FEED, next);
  }
  return undefined;
}
