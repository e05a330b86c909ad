/** Forwards a stream of events to the caller as they arrive. */

import type {IncomingMessage} from 'node:http';
import type {AnswerContent} from '@snipestage/connection/answer_end.js';
import {isFieldValue} from '@snipestage/connection/answer_head.js';
import {MAX_EVENT_BYTES} from '@snipestage/connection/answer_limits.js';
import {CollectedBytes} from '@snipestage/connection/collected_bytes.js';
import type {AnswerWriter} from './answer_writer.js';
import type {EndpointCall} from './endpoint_call.js';
import {EventSplitter, type ServerSentEvent} from './event_splitter.js';
import type {FlatHeaders} from './pass_through_protocol.js';

/** Options of {@link EventRelay}. */
export interface EventRelayOptions {
  readonly call: EndpointCall;
  readonly response: IncomingMessage;
  readonly writer: AnswerWriter;
  readonly status: number;
  readonly headers: FlatHeaders;
  readonly onEvent: () => void;
  /** Called when the endpoint isn't read, as its caller doesn't read. */
  readonly onPaused: () => void;
  readonly onResumed: () => void;
}

/**
 * How a stream ended: `whole`, `broken` off by its endpoint, or not read any
 * further since what comes is `no_event`.
 */
export type StreamEnd = 'whole' | 'broken' | 'no_event';

/**
 * Forwards one endpoint's stream. The head is sent with the first event, so
 * that until then another endpoint may take over with its own head. A stream
 * that is resumed keeps the head of its first endpoint, and events that the
 * caller has already received are skipped. An event that isn't complete is never
 * forwarded: a stream that ends inside one has been broken off.
 */
export class EventRelay {
  private readonly splitter = new EventSplitter();
  /** Blocks before the first event; they commit this endpoint to nothing. */
  private readonly preamble = new CollectedBytes();
  private bytesSinceEvent = 0;
  private isPaused = false;
  private isOver = false;

  constructor(private readonly options: EventRelayOptions) {}

  /**
   * Resolves at the end of the stream. Rejects when reading it throws, which no
   * listener of its response catches.
   */
  run(): Promise<StreamEnd> {
    const {response} = this.options;
    return new Promise((resolve, reject) => {
      const settle = (end: StreamEnd) => {
        this.isOver = true;
        resolve(end);
      };
      const attempt = (read: () => void) => {
        if (this.isOver) return;
        try {
          read();
        } catch (error) {
          this.isOver = true;
          reject(error as Error);
        }
      };
      response.on('data', (chunk: Buffer) =>
        attempt(() => {
          if (!this.take(chunk)) settle('no_event');
        }),
      );
      let hasEnded = false;
      response.on('end', () => {
        hasEnded = true;
        attempt(() => {
          if (!this.forwardAll(this.splitter.end())) settle('no_event');
          else void this.end().then(settle, reject);
        });
      });
      response.on('error', () => settle('broken'));
      response.on('close', () => {
        if (!hasEnded) settle('broken');
      });
    });
  }

  private async end(): Promise<StreamEnd> {
    const {call, response} = this.options;
    const isWhole = await call.isWhole(response, this.content);
    if (!isWhole) return 'broken';
    this.finish();
    return 'whole';
  }

  private get content(): AnswerContent {
    const {splitter} = this;
    return {
      kind: 'events',
      count: splitter.eventCount,
      hasPartialEvent: splitter.hasPartialEvent,
    };
  }

  private finish(): void {
    const {writer} = this.options;
    this.begin();
    const rest = this.splitter.takeRest();
    if (rest.length > 0) writer.write(rest);
    writer.finish();
  }

  /** @returns false for bytes that can't belong to a stream of events. */
  private take(chunk: Buffer): boolean {
    const {writer} = this.options;
    this.bytesSinceEvent += chunk.length;
    const events = this.splitter.push(chunk);
    // Complete events count as written, and no longer as unsent.
    writer.noteUnsent(this.splitter.restBytes + this.preamble.length);
    if (!this.forwardAll(events)) return false;
    if (this.bytesSinceEvent > MAX_EVENT_BYTES) return false;
    writer.noteUnsent(this.splitter.restBytes + this.preamble.length);
    return true;
  }

  /** @returns false if one of them can't be forwarded. */
  private forwardAll(events: readonly ServerSentEvent[]): boolean {
    const forwarded: Buffer[] = [];
    // An id has to fit into a header when the stream is resumed after it.
    const isValid = events.every(event => {
      if (event.id !== undefined && !isFieldValue(event.id)) return false;
      if (this.accept(event)) forwarded.push(event.bytes);
      return true;
    });
    // One write, as each costs several objects, however short the events are.
    if (forwarded.length > 0) this.write(Buffer.concat(forwarded));
    return isValid;
  }

  /** @returns whether it is to be written now. */
  private accept(event: ServerSentEvent): boolean {
    const {writer} = this.options;
    if (isRepeated(event, writer.lastEventId)) return false;
    if (!event.isEvent && !writer.hasBegun) {
      this.preamble.append(event.bytes);
      return false;
    }
    this.begin();
    if (event.isEvent) {
      this.bytesSinceEvent = this.splitter.restBytes;
      this.options.onEvent();
      writer.noteEvent(event.id, performance.now());
    }
    return true;
  }

  private write(bytes: Buffer): void {
    if (!this.options.writer.write(bytes)) this.pause();
  }

  /** Stops reading until the caller has read. */
  private pause(): void {
    if (this.isPaused) return;
    const {response, writer, onPaused, onResumed} = this.options;
    this.isPaused = true;
    response.pause();
    onPaused();
    writer.whenDrained(() => {
      this.isPaused = false;
      response.resume();
      onResumed();
    });
  }

  private begin(): void {
    const {writer, status, headers} = this.options;
    if (writer.hasBegun) return;
    writer.beginStream(status, headers);
    if (this.preamble.length > 0) writer.write(this.preamble.take());
  }
}

function isRepeated(
  event: ServerSentEvent,
  lastId: string | undefined,
): boolean {
  if (event.id === undefined || lastId === undefined) return false;
  const [id, last] = [Number(event.id), Number(lastId)];
  return Number.isFinite(id) && Number.isFinite(last) && id <= last;
}
