/** Sends the body of a request to an endpoint that may not read it. */

import type {ClientRequest} from 'node:http';
import {ReadFirstTimeout} from '@snipestage/connection/read_first_timeout.js';

/** Options of {@link BodySending}. */
export interface BodySendingOptions {
  /** Longest time in which nothing of the body is taken. */
  readonly timeoutMs: number;
  readonly onTimeout: () => void;
}

/**
 * Time after which an endpoint that takes nothing more of a body is given up.
 * Healthy ones pause for 1 to 2 s, and a body of 4 MB takes 3.4 s on a link of
 * 10 Mbit/s, while it makes progress all the time.
 */
export const UNREAD_BODY_TIMEOUT_MS = 5000;
/** Part of a body that is written at once. */
const PART_BYTES = 65_536;

/**
 * Writes the body in parts, each once the system has taken the one before, and
 * calls back when it takes none for too long. Without that, an endpoint that
 * stops reading occupies the body and the connection until the request's time
 * is over. A body of one part is sent together with the head.
 */
export class BodySending {
  private timeout: ReadFirstTimeout | undefined;
  private isOver = false;

  constructor(
    private readonly request: ClientRequest,
    private readonly body: Buffer | undefined,
    private readonly options: BodySendingOptions,
  ) {}

  begin(): void {
    const {request, body} = this;
    request.once('finish', () => this.stopTimeout());
    this.restartTimeout();
    if (body === undefined || body.length <= PART_BYTES) request.end(body);
    else this.sendFrom(body, 0);
  }

  /** The endpoint answers, or the call is over. */
  stopTimeout(): void {
    this.isOver = true;
    this.timeout?.cancel();
  }

  private sendFrom(body: Buffer, offset: number): void {
    const end = offset + PART_BYTES;
    const part = body.subarray(offset, end);
    if (end >= body.length) {
      this.request.end(part);
      return;
    }
    this.request.write(part, error => {
      if (error) return;
      this.restartTimeout();
      this.sendFrom(body, end);
    });
  }

  private restartTimeout(): void {
    this.timeout?.cancel();
    if (this.isOver) return;
    const {timeoutMs, onTimeout} = this.options;
    this.timeout = new ReadFirstTimeout(onTimeout, timeoutMs);
  }
}
