/** Makes sequences from requests and assigns the injected faults to them. */

import {randomUUID} from 'node:crypto';
import {headerOf, parseJson} from '../http/exchange.js';
import type {Call} from '../http/stand_in_server.js';
import {seededRandom, type RandomSource} from '../random.js';
import {countTokens, promptOf, type CompletionRequest} from './completion.js';
import type {EngineControl} from './engine_control.js';
import {drawLength, markedMean} from './output_length.js';
import {
  Sequence,
  type CompletionFormat,
  type SequenceOptions,
} from './sequence.js';

/** Options of {@link SequenceFactory}. */
export interface SequenceFactoryOptions {
  readonly seed?: number;
  /**
   * Mean length of answers whose request sets no `max_tokens` and whose prompt
   * has no mark that sets the mean.
   */
  readonly meanOutputTokens?: number;
  /** A prompt that contains this text crashes the engine. */
  readonly poisonMark?: string;
}

/** A sequence and the delay until its answer begins. */
export interface MadeSequence {
  readonly sequence: Sequence;
  readonly lateMs: number;
}

export const DEFAULT_POISON_MARK = '<<poison>>';
const DEFAULT_MEAN_OUTPUT_TOKENS = 32;
const LOWEST_PRIORITY = 1000;
/**
 * A poison request crashes its engine after 0 to 3 tokens if its answer is
 * longer than that.
 */
const CRASH_AFTER_TOKENS_BOUND = 4;

/** Makes sequences and counts down faults that affect only the next ones. */
export class SequenceFactory {
  private readonly options: SequenceFactoryOptions;
  private readonly random: RandomSource;
  private hang = {afterTokens: 0, count: 0};
  private late = {delayMs: 0, count: 0};
  private crossNext = 0;
  private previous: SequenceOptions | undefined;

  constructor(options: SequenceFactoryOptions) {
    this.options = options;
    this.random = seededRandom(options.seed ?? 0);
  }

  control(command: EngineControl): void {
    if (command.hang !== undefined) this.hang = {...command.hang};
    if (command.late !== undefined) this.late = {...command.late};
    this.crossNext = command.crossNext ?? this.crossNext;
  }

  /** Makes the sequence that answers a call. */
  make(call: Call, format: CompletionFormat): MadeSequence {
    const options: SequenceOptions = {
      ...this.optionsFor(call, format),
      answersFor: this.consumeCrossed(),
      hangAfterTokens: consumeOne(this.hang)
        ? this.hang.afterTokens
        : undefined,
    };
    this.previous = options;
    const lateMs = consumeOne(this.late) ? this.late.delayMs : 0;
    return {sequence: new Sequence(options), lateMs};
  }

  private optionsFor(call: Call, format: CompletionFormat): SequenceOptions {
    const body = parseJson<CompletionRequest>(call.body);
    const {text, firstIndex} = promptOf(body);
    const {meanOutputTokens = DEFAULT_MEAN_OUTPUT_TOKENS, seed = 0} =
      this.options;
    const mean = markedMean(text) ?? meanOutputTokens;
    const drawn = drawLength(text, seed, mean) - firstIndex;
    const priority = headerOf(call.request, 'x-request-priority');
    return {
      requestId: headerOf(call.request, 'x-request-id') ?? randomUUID(),
      model: body.model,
      format,
      prompt: text,
      promptTokens: countTokens(text) + firstIndex,
      firstIndex,
      length: Math.max(1, body.max_tokens ?? drawn),
      priority: priority === undefined ? LOWEST_PRIORITY : Number(priority),
      crashAfterTokens: this.drawCrash(text),
    };
  }

  private drawCrash(prompt: string): number | undefined {
    const mark = this.options.poisonMark ?? DEFAULT_POISON_MARK;
    if (!prompt.includes(mark)) return undefined;
    return Math.floor(this.random() * CRASH_AFTER_TOKENS_BOUND);
  }

  private consumeCrossed(): SequenceOptions | undefined {
    if (this.crossNext === 0 || this.previous === undefined) return undefined;
    this.crossNext -= 1;
    return this.previous;
  }
}

function consumeOne(fault: {count: number}): boolean {
  if (fault.count === 0) return false;
  fault.count -= 1;
  return true;
}
