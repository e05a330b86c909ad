/** Splits a stream of bytes into complete server-sent events. */

/** An event, including the blank line that ends it. */
export interface ServerSentEvent {
  readonly bytes: Buffer;
  /** Value of its `id` field; undefined without one. */
  readonly id: string | undefined;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = /^id: ?(.*)$/m;

/**
 * Emits complete events only. If an endpoint stops in the middle of an event,
 * the caller's stream still ends at the end of an event, so that it can be
 * resumed.
 */
export class EventSplitter {
  private rest: Buffer = Buffer.alloc(0);
  /** Number of complete events so far. */
  eventCount = 0;

  /** Whether bytes have arrived of an event that is not complete. */
  get hasPartialEvent(): boolean {
    return this.rest.length > 0;
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
    const events: ServerSentEvent[] = [];
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
    this.eventCount += events.length;
    return events;
  }

  /** Removes and returns the bytes after the last complete event. */
  takeRest(): Buffer {
    const rest = this.rest;
    this.rest = Buffer.alloc(0);
    return rest;
  }
}

/** Position after the blank line that ends the event; undefined if missing. */
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
