/** Parses the server-sent events of one attempt. */

import {MAX_EVENT_BYTES} from '@snipestage/connection/answer_limits.js';
import type {AttemptId} from '@snipestage/types/ids.js';
import {createParser} from 'eventsource-parser';
import {readCompletionChunk, STREAM_END} from './completion_chunk.js';
import {EndpointError} from './endpoint_error.js';
import type {EngineEvent} from './engine_driver.js';

const LINE_END = /[\r\n]/;

/**
 * Converts the text of a stream, fed in parts, into engine events.
 *
 * @example
 * const reader = new EventReader(attempt);
 * const events = reader.feed('data: {"id":"r.1", …}\n\n');
 */
export class EventReader {
  private batch: EngineEvent[] = [];
  private ended = false;
  /** Parts of a line; the parser would read them again with each part. */
  private line: string[] = [];
  private lengthSinceEvent = 0;
  private readonly parser = createParser({
    onEvent: message => this.take(message.data),
  });

  constructor(private readonly attempt: AttemptId) {}

  /** Whether the stream's end mark has arrived. */
  get hasEnded(): boolean {
    return this.ended;
  }

  /**
   * Returns the events that the text completes.
   *
   * @throws EndpointError for a chunk that isn't JSON, belongs to another
   * request or reports an error, and for too much text without an event.
   */
  feed(text: string): readonly EngineEvent[] {
    this.batch = [];
    this.line.push(text);
    this.lengthSinceEvent += text.length;
    if (LINE_END.test(text)) {
      this.parser.feed(this.line.join(''));
      this.line = [];
    }
    if (this.lengthSinceEvent > MAX_EVENT_BYTES) {
      throw new EndpointError('The engine sent no event.', {kind: 'broken'});
    }
    return this.batch;
  }

  private take(data: string): void {
    this.lengthSinceEvent = 0;
    if (data === STREAM_END) this.ended = true;
    else this.batch.push(...readCompletionChunk(data, this.attempt));
  }
}
