/** What the router needs of a model engine. */

import type {AttemptId} from '@snipestage/types/ids.js';

/** The two OpenAI-compatible calls. */
export type CompletionPath = '/v1/chat/completions' | '/v1/completions';

/** One attempt at an engine. */
export interface EngineCall {
  readonly url: string;
  readonly path: CompletionPath;
  readonly attempt: AttemptId;
  /** The caller's body; the driver sets what concerns streaming. */
  readonly body: Readonly<Record<string, unknown>>;
  /** 0 is served first. */
  readonly tier: number;
  readonly signal: AbortSignal;
  readonly firstTokenTimeoutMs: number;
  /** Longest silence between two chunks. */
  readonly chunkTimeoutMs: number;
  /** Tokens of the attempt that arrived over an earlier connection. */
  readonly resumeOffset?: number;
}

/** A piece of an answer. */
export type EngineEvent =
  | {
      readonly kind: 'token';
      readonly text: string;
      /** Set on the last piece of some engines. */
      readonly finishReason?: string;
      /** The engine's chunk, whose `id` is still the attempt's. */
      readonly chunk: Record<string, unknown>;
    }
  | {
      readonly kind: 'finish';
      readonly finishReason: string;
      readonly chunk: Record<string, unknown>;
    }
  | {
      readonly kind: 'usage';
      readonly promptTokens: number;
      readonly outputTokens: number;
    };

/** Takes events that arrived together; a promise holds up the next ones. */
export type EngineListener = (
  events: readonly EngineEvent[],
) => Promise<void> | void;

/** A kind of model engine. */
export abstract class EngineDriver {
  /**
   * Runs an attempt to its end mark. Events are handed over as they come rather
   * than through an async iterator, whose turns of the microtask queue for each
   * token and layer cost more than the token's own work.
   *
   * @throws EndpointError when the answer did not come whole, and whatever the
   * listener throws.
   */
  abstract run(call: EngineCall, listener: EngineListener): Promise<void>;

  /** Tells the engine to stop; never throws, since nothing hangs on it. */
  abstract cancel(url: string, attempt: AttemptId): Promise<void>;
}
