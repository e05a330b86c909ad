/**
 * Sends requests at their scheduled instants, however late the answers are
 * (open loop). Latency is measured from the scheduled instant, so that a
 * request which could not be sent in time does not count as a fast one.
 */

import {setMaxListeners} from 'node:events';
import {Agent} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import got from 'got';
import {streamCompletion, type StreamResult} from '../client/stream_client.js';
import {expectedCompletion, textOf} from '../engine/completion.js';
import {drawLength} from '../engine/output_length.js';
import type {Arrival, ServiceArrival} from './arrivals.js';
import type {Balancer} from './balancer.js';

/** Result of one model request. */
export interface Outcome {
  readonly arrival: Arrival;
  /** From the scheduled instant; absent when no token arrived. */
  readonly firstTokenMs: number | undefined;
  /** Mean over the answer; absent when there are fewer than two tokens. */
  readonly betweenTokensMs: number | undefined;
  /** From the scheduled instant to the end of the exchange. */
  readonly totalMs: number;
  readonly tokens: number;
  /** Whether the complete, expected answer to this request arrived. */
  readonly isComplete: boolean;
  /** Whether the received text is not a prefix of the expected answer. */
  readonly isWrong: boolean;
  readonly status: number;
  readonly requestId: string | undefined;
  readonly refusal: string | undefined;
  readonly verdict: string | undefined;
  readonly failure: string | undefined;
}

/** Result of one call of the plain service. */
export interface ServiceOutcome {
  readonly arrival: ServiceArrival;
  /** 0 when the call failed without an answer. */
  readonly status: number;
  readonly body: string;
}

/** Options of {@link Load}: where to send, and with which keys. */
export interface LoadOptions {
  readonly balancer: Balancer;
  readonly accountKeys: Readonly<Record<string, string>>;
  readonly model: string;
  /** The engines' seed, which determines the lengths of answers. */
  readonly engineSeed: number;
  /** How long answers may still take after the last request was sent. */
  readonly drainMs: number;
}

const MAX_SLEEP_MS = 50;
const MAX_TRY_COUNT = 3;
/** Failure of an exchange that the measurement itself aborted. */
const GIVEN_UP = 'given_up';

/** Sends the requests of one run. */
export class Load {
  private readonly options: LoadOptions;
  private readonly agent = new Agent({keepAlive: true, maxSockets: Infinity});
  private readonly abort = new AbortController();
  private startedAtMs = 0;

  constructor(options: LoadOptions) {
    this.options = options;
    setMaxListeners(0, this.abort.signal);
  }

  /**
   * Sends all requests, waits for the answers and aborts those that are still
   * open after {@link LoadOptions.drainMs}.
   *
   * @example
   * const outcomes = await load.run(arrivals);
   */
  async run(arrivals: readonly Arrival[]): Promise<Outcome[]> {
    this.startedAtMs = performance.now();
    const outcomes = await this.sendOnSchedule(arrivals, arrival =>
      this.send(arrival),
    );
    this.agent.destroy();
    return outcomes;
  }

  /** As {@link run}, for calls of the plain service. */
  runService(arrivals: readonly ServiceArrival[]): Promise<ServiceOutcome[]> {
    this.startedAtMs = performance.now();
    return this.sendOnSchedule(arrivals, arrival => this.call(arrival));
  }

  private async sendOnSchedule<A extends {readonly atMs: number}, O>(
    arrivals: readonly A[],
    send: (arrival: A) => Promise<O>,
  ): Promise<O[]> {
    const sent: Array<Promise<O>> = [];
    for (const arrival of arrivals) {
      await this.sleepUntil(arrival.atMs);
      sent.push(send(arrival));
    }
    const abortTimer = setTimeout(
      () => this.abort.abort(),
      this.options.drainMs,
    );
    const outcomes = await Promise.all(sent);
    clearTimeout(abortTimer);
    return outcomes;
  }

  private async sleepUntil(atMs: number): Promise<void> {
    for (;;) {
      const leftMs = this.startedAtMs + atMs - performance.now();
      if (leftMs <= 0) return;
      await delay(Math.min(leftMs, MAX_SLEEP_MS));
    }
  }

  private async send(arrival: Arrival): Promise<Outcome> {
    const {balancer} = this.options;
    for (let tries = 1; ; tries++) {
      const url = balancer.pick();
      const result = await this.stream(url, arrival);
      const isRefused = result.failure === 'ECONNREFUSED';
      if (!isRefused || tries === MAX_TRY_COUNT) {
        return this.outcomeOf(arrival, result);
      }
      balancer.reportRefused(url);
    }
  }

  private stream(url: string, arrival: Arrival): Promise<StreamResult> {
    const {accountKeys, model} = this.options;
    return streamCompletion({
      url,
      agent: this.agent,
      headers: {
        authorization: `Bearer ${accountKeys[arrival.account]}`,
        'x-request-class': arrival.requestClass,
      },
      body: {model, messages: messagesOf(arrival)},
      signal: this.abort.signal,
    });
  }

  private outcomeOf(arrival: Arrival, result: StreamResult): Outcome {
    const intendedAtMs = this.startedAtMs + arrival.atMs;
    const {tokenTimesMs} = result;
    const first = tokenTimesMs[0];
    const last = tokenTimesMs[tokenTimesMs.length - 1];
    const gaps = tokenTimesMs.length - 1;
    const expected = this.expectedText(arrival);
    return {
      arrival,
      firstTokenMs: first === undefined ? undefined : first - intendedAtMs,
      betweenTokensMs: gaps < 1 ? undefined : (last - first) / gaps,
      totalMs: result.endedAtMs - intendedAtMs,
      tokens: tokenTimesMs.length,
      isComplete: result.isComplete && result.text === expected,
      isWrong: !expected.startsWith(result.text),
      status: result.status,
      requestId: result.requestId,
      refusal: result.error?.code,
      verdict: result.error?.verdict,
      failure: this.failureOf(result),
    };
  }

  private failureOf({failure}: StreamResult): string | undefined {
    if (failure === undefined) return undefined;
    return this.abort.signal.aborted ? GIVEN_UP : failure;
  }

  private expectedText(arrival: Arrival): string {
    const prompt = textOf(messagesOf(arrival));
    const {engineSeed} = this.options;
    const tokens = drawLength(prompt, engineSeed, arrival.meanOutputTokens);
    return expectedCompletion(prompt, tokens);
  }

  private async call(arrival: ServiceArrival): Promise<ServiceOutcome> {
    const {accountKeys, balancer} = this.options;
    try {
      const answer = await got.post(
        `${balancer.pick()}/services/booking/bookings`,
        {
          json: {call: arrival.key},
          headers: {
            authorization: `Bearer ${accountKeys[arrival.account]}`,
            'idempotency-key': arrival.key,
          },
          retry: {limit: 0},
          throwHttpErrors: false,
          signal: this.abort.signal,
        },
      );
      return {arrival, status: answer.statusCode, body: answer.body};
    } catch (error) {
      return {arrival, status: 0, body: String(error)};
    }
  }
}

function messagesOf(arrival: Arrival): Array<{role: string; content: string}> {
  return [{role: 'user', content: arrival.prompt}];
}
