/** What is held for one request: a slot, its body and its answer. */

import type {IncomingMessage} from 'node:http';
import type {HolderKey} from '@snipestage/routing/held_bytes.js';
import type {RequestSlots} from '@snipestage/routing/request_slots.js';
import {brandAs, type ClientAccountId} from '@snipestage/types/ids.js';
import type {AnswerWriter} from './answer_writer.js';
import type {HeldMemory, MemoryGuard} from './memory_guard.js';
import {readRequestBody, type RequestBody} from './read_request_body.js';

/** Bounds for all requests; undefined where none is set. */
export interface RequestBounds {
  readonly memory: MemoryGuard | undefined;
  readonly slots: RequestSlots | undefined;
}

/** Counts nothing where no bound is set. */
export class RequestMemory {
  private body: HeldMemory | undefined;
  private answer: HeldMemory | undefined;
  private isAnswerOver = false;
  private slotHolder: HolderKey | undefined;

  constructor(
    private readonly bounds: RequestBounds,
    private readonly writer: AnswerWriter,
    /** Sends the final answer of a request that still runs. */
    private readonly giveUp: (reason: string) => void,
  ) {}

  /**
   * Counts for the account, or for the caller's address if there is none.
   *
   * @returns false if it has too many requests in progress.
   */
  begin(
    requestId: string | undefined,
    account: ClientAccountId | undefined,
    address = '',
  ): boolean {
    const {writer} = this;
    const {memory: guard, slots} = this.bounds;
    if (this.isAnswerOver) return true;
    const key =
      account === undefined ? `address:${address}` : `account:${account}`;
    const holder = brandAs<HolderKey>(key);
    if (slots?.tryTake(holder) === false) return false;
    this.slotHolder = holder;
    if (guard === undefined) return true;
    this.body = guard.open(holder, 'incoming_body', requestId);
    this.answer = guard.open(holder, 'stream', requestId);
    this.answer.onAborted = () => this.abortAnswer();
    writer.limitMemory(this.answer, endpoint =>
      guard.open(
        brandAs<HolderKey>(`endpoint:${endpoint}`),
        'read_ahead',
        requestId,
      ),
    );
    return true;
  }

  /** Reads the body, which is held until {@link closeBody}. */
  async readBody(
    request: IncomingMessage,
    limits: {readonly maxBytes: number; readonly timeoutMs: number},
  ): Promise<RequestBody> {
    const {body: held} = this;
    const body = await readRequestBody(request, {...limits, held});
    held?.keep('request_body');
    return body;
  }

  /** The request is over, so that its body isn't sent any more. */
  closeBody(): void {
    this.body?.close();
  }

  /** The caller has the whole answer, or its connection is closed. */
  closeAnswer(): void {
    if (this.isAnswerOver) return;
    this.isAnswerOver = true;
    this.answer?.close();
    if (this.slotHolder !== undefined) {
      this.bounds.slots?.release(this.slotHolder);
    }
  }

  /** Ends visibly: as a failure if nothing was sent, else as a broken answer. */
  private abortAnswer(): void {
    if (this.writer.isOver) this.writer.abandon();
    else this.giveUp('memory_bound');
  }
}
