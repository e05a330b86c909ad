/** Reads one attempt's server-sent events. */

import type {AttemptId} from '@snipestage/types/ids.js';
import {createParser} from 'eventsource-parser';
import {readCompletionChunk, STREAM_END} from './completion_chunk.js';
import type {EngineEvent} from './engine_driver.js';

/**
 * Text in, events out.
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

  /** Whether the end mark has come. */
  get hasEnded(): boolean {
    return this.ended;
  }

  /**
   * @throws EndpointError for a chunk that can't be read or belongs to another
   * request.
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
