/** Parses the server-sent events of one attempt. */

import type {AttemptId} from '@snipestage/types/ids.js';
import {createParser} from 'eventsource-parser';
import {readCompletionChunk, STREAM_END} from './completion_chunk.js';
import type {EngineEvent} from './engine_driver.js';

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
   * request or reports an error.
   */
  feed(text: string): readonly EngineEvent[] {
    this.batch = [];
    this.parser.feed(text);
    return this.batch;
  }

  private take(data: string): void {
    if (data === STREAM_END) this.ended = true;
    else this.batch.push(...readCompletionChunk(data, this.attempt));
  }
}
