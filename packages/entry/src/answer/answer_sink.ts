/** Where the pieces of a model's answer go. */

import type {Refusal} from '@snipestage/types/refusal.js';
import type {UsageFigures} from '@snipestage/types/platform_messages.js';

/** Tokens of one answer. */
export type AnswerUsage = Omit<UsageFigures, 'requests'>;

/** A piece of an answer, freed of the engine's own ids. */
export interface AnswerPiece {
  readonly text: string;
  readonly finishReason?: string;
  /** The engine's chunk, for fields that we do not know. */
  readonly chunk: Readonly<Record<string, unknown>>;
}

/** One caller's answer in the making. */
export abstract class AnswerSink {
  /** True once the caller has got something that can't be taken back. */
  abstract get hasBegun(): boolean;

  /** Tokens that the caller has got, whether or not the answer got whole. */
  abstract get deliveredTokens(): number;

  /** Takes a piece; gives a promise when the caller reads slowly. */
  abstract write(piece: AnswerPiece): Promise<void> | undefined;

  /** The answer is whole. */
  abstract finish(usage: AnswerUsage): Promise<void>;

  /** There is no (more of an) answer. */
  abstract fail(refusal: Refusal): void;
}
