/** What is held for one request: its body and its answer. */

import type {IncomingMessage} from 'node:http';
import type {HolderKey} from '@snipestage/routing/held_bytes.js';
import {brandAs, type ClientAccountId} from '@snipestage/types/ids.js';
import type {AnswerWriter} from './answer_writer.js';
import type {HeldMemory, MemoryGuard} from './memory_guard.js';
import {readRequestBody, type RequestBody} from './read_request_body.js';

/** Counts nothing where no bound is set. */
export class RequestMemory {
  private body: HeldMemory | undefined;
  private answer: HeldMemory | undefined;
  private isAnswerOver = false;

  constructor(
    private readonly guard: MemoryGuard | undefined,
    private readonly writer: AnswerWriter,
    /** Sends the final answer of a request that still runs. */
    private readonly giveUp: (reason: string) => void,
  ) {}

  /** Counts for the account, or for the caller's address if there is none. */
  begin(
    requestId: string | undefined,
    account: ClientAccountId | undefined,
    address = '',
  ): void {
    const {guard, writer} = this;
    if (guard === undefined || this.isAnswerOver) return;
    const key =
      account === undefined ? `address:${address}` : `account:${account}`;
    const holder = brandAs<HolderKey>(key);
    this.body = guard.open(holder, 'incoming_body', requestId);
    this.answer = guard.open(holder, 'stream', requestId);
    this.answer.onAborted = () => this.abortAnswer();
    writer.limitMemory(this.answer);
  }

  /** Reads the body, which is held until {@link closeBody}. */
  async readBody(
    request: IncomingMessage,
    maxBytes: number,
  ): Promise<RequestBody> {
    const {body: held} = this;
    const body = await readRequestBody(request, {maxBytes, held});
    held?.keep('request_body');
    return body;
  }

  /** The request is over, so that its body isn't sent any more. */
  closeBody(): void {
    this.body?.close();
  }

  /** The caller has the whole answer, or its connection is closed. */
  closeAnswer(): void {
    this.isAnswerOver = true;
    this.answer?.close();
  }

  /** Ends visibly: as a failure if nothing was sent, else as a broken answer. */
  private abortAnswer(): void {
    if (this.writer.isOver) this.writer.abandon();
    else this.giveUp('memory_bound');
  }
}
