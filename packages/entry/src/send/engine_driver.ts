/** Interface between the router and model engines. */

import type {AttemptId} from '@snipestage/types/ids.js';

/** Paths of the two OpenAI-compatible completion calls. */
export type CompletionPath = '/v1/chat/completions' | '/v1/completions';

/** One attempt at an engine. */
export interface EngineCall {
  readonly url: string;
  readonly path: CompletionPath;
  readonly attempt: AttemptId;
  /** The caller's body; the driver sets the fields for streaming. */
  readonly body: Readonly<Record<string, unknown>>;
  /** Priority; 0 is served first. */
  readonly tier: number;
  readonly signal: AbortSignal;
  /** Asked once the connection is open, before anything is sent. */
  readonly mayStillSend?: () => boolean;
  readonly firstTokenTimeoutMs: number;
  /** Longest time between two chunks. */
  readonly chunkTimeoutMs: number;
  /**
   * Count of the attempt's tokens that arrived over an earlier connection; set
   * to resume the stream behind them.
   */
  readonly resumeOffset?: number;
}

/** An event of an engine's answer. */
export type EngineEvent =
  | {
      readonly kind: 'token';
      readonly text: string;
      /** Some engines set it on the last token. */
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

/**
 * Receives events that arrived together. The next ones are held back until a
 * returned promise resolves.
 */
export type EngineListener = (
  events: readonly EngineEvent[],
) => Promise<void> | void;

/** Runs attempts at one kind of model engine. */
export abstract class EngineDriver {
  /**
   * Runs an attempt until the stream's end mark. Events are passed to a
   * listener rather than through an async iterator, whose turns of the
   * microtask queue for each token and layer cost more than processing the
   * token.
   *
   * @throws EndpointError when the answer did not arrive completely, or the
   * listener failed.
   */
  abstract run(call: EngineCall, listener: EngineListener): Promise<void>;

  /**
   * Tells the engine to stop; never throws, as nothing depends on its success.
   */
  abstract cancel(url: string, attempt: AttemptId): Promise<void>;
}
