/** Forwards a stream of events to the caller as they arrive. */

import type {IncomingMessage} from 'node:http';
import type {AnswerContent} from '@snipestage/connection/answer_end.js';
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
 * Forwards one endpoint's stream. The head is sent with the first event, so
 * that until then another endpoint may take over with its own head. A stream
 * that is resumed keeps the head of its first endpoint, and events that the
 * caller has already received are skipped. An event that isn't complete is never
 * forwarded: a stream that ends inside one has been broken off.
 */
export class EventRelay {
  private readonly splitter = new EventSplitter();
  /** Blocks before the first event; they commit this endpoint to nothing. */
  private readonly preamble: Buffer[] = [];

  constructor(private readonly options: EventRelayOptions) {}

  /** @returns whether the stream was complete. */
  run(): Promise<boolean> {
    const {call, response} = this.options;
    return new Promise(resolve => {
      response.on('data', (chunk: Buffer) => {
        for (const event of this.splitter.push(chunk)) this.forward(event);
      });
      let hasEnded = false;
      response.on('end', () => {
        hasEnded = true;
        for (const event of this.splitter.end()) this.forward(event);
        void call.isWhole(response, this.content).then(isWhole => {
          if (isWhole) this.finish();
          resolve(isWhole);
        });
      });
      response.on('error', () => resolve(false));
      response.on('close', () => {
        if (!hasEnded) resolve(false);
      });
    });
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

  private forward(event: ServerSentEvent): void {
    const {response, writer, onPaused, onResumed} = this.options;
    if (isRepeated(event, writer.lastEventId)) return;
    if (!event.isEvent && !writer.hasBegun) {
      this.preamble.push(event.bytes);
      return;
    }
    this.begin();
    if (event.isEvent) {
      this.options.onEvent();
      writer.noteEvent(event.id, performance.now());
    }
    if (writer.write(event.bytes)) return;
    response.pause();
    onPaused();
    writer.whenDrained(() => {
      response.resume();
      onResumed();
    });
  }

  private begin(): void {
    const {writer, status, headers} = this.options;
    if (writer.hasBegun) return;
    writer.beginStream(status, headers);
    for (const bytes of this.preamble) writer.write(bytes);
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
