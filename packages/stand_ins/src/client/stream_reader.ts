/** Parses OpenAI-compatible event streams. */

/** A chunk of a chat or text completion, or a refusal. */
export interface StreamChunk {
  readonly id?: string;
  readonly choices?: ReadonlyArray<{
    readonly delta?: {readonly content?: string};
    readonly text?: string;
  }>;
  readonly usage?: {
    readonly prompt_tokens: number;
    readonly completion_tokens: number;
  } | null;
  readonly error?: {readonly code: string; readonly verdict?: string};
}

/** One event of a stream. */
export type StreamEvent =
  | {readonly kind: 'chunk'; readonly chunk: StreamChunk}
  | {readonly kind: 'done'};

const DATA_PREFIX = 'data: ';
const DONE = '[DONE]';

/** Assembles events from pieces of any size. */
export class StreamReader {
  private rest = '';

  /**
   * Adds a piece of the body.
   *
   * @returns the events that it completes.
   * @example
   * for (const event of reader.addPiece(piece)) show(event);
   */
  addPiece(piece: string): StreamEvent[] {
    const events = (this.rest + piece).split('\n\n');
    this.rest = events.pop() ?? '';
    return events
      .filter(event => event.startsWith(DATA_PREFIX))
      .map(event => parseEvent(event.slice(DATA_PREFIX.length)));
  }
}

/**
 * Returns the text of a chunk, in chat or text format; empty when it has none.
 *
 * @example
 * text += textOfChunk(event.chunk);
 */
export function textOfChunk(chunk: StreamChunk): string {
  const choice = chunk.choices?.[0];
  return choice?.delta?.content ?? choice?.text ?? '';
}

function parseEvent(data: string): StreamEvent {
  if (data === DONE) return {kind: 'done'};
  return {kind: 'chunk', chunk: JSON.parse(data) as StreamChunk};
}
