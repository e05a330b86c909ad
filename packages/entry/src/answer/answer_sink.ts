/** Interface through which a model's answer is sent to its caller. */

import type {Refusal} from '@snipestage/types/refusal.js';
import type {UsageFigures} from '@snipestage/types/platform_messages.js';

/** Token counts of one answer. */
export type AnswerUsage = Omit<UsageFigures, 'requests'>;

/** A piece of an answer. */
export interface AnswerPiece {
  readonly text: string;
  readonly finishReason?: string;
  /**
   * The engine's chunk, with fields that the router doesn't know. Its `id` is
   * the attempt's, which a sink must not pass on.
   */
  readonly chunk: Readonly<Record<string, unknown>>;
}

/** Sends one answer to its caller, from the pieces that an engine produces. */
export abstract class AnswerSink {
  /**
   * Whether a part of the answer has been sent, so that it can't be replaced by
   * a refusal any more.
   */
  abstract get hasBegun(): boolean;

  /** Count of tokens written for the caller, also of an incomplete answer. */
  abstract get deliveredTokens(): number;

  /**
   * Takes a piece. Returns a promise to wait for when the caller reads slowly,
   * and `undefined` otherwise.
   */
  abstract write(piece: AnswerPiece): Promise<void> | undefined;

  /** Ends a complete answer. */
  abstract finish(usage: AnswerUsage): Promise<void>;

  /** Ends the answer with a refusal, whether or not it has begun. */
  abstract fail(refusal: Refusal): void;
}
