/** The sample calls of the quickstart, from accounts of both sample tickets. */

import got, {type Response} from 'got';
import {streamCompletion} from '../client/stream_client.js';
import type {QuickstartEnvironment} from './environment.js';

/** The outcome of one sample call. */
export interface SampleOutcome {
  readonly title: string;
  readonly ok: boolean;
  readonly detail: string;
}

const SAMPLE_TOKEN_COUNT = 12;

/**
 * Makes every sample call, one after the other.
 *
 * @example
 * for (const outcome of await makeSampleCalls(environment)) print(outcome);
 */
export async function makeSampleCalls(
  environment: QuickstartEnvironment,
): Promise<SampleOutcome[]> {
  return [
    await streamChat(environment, {
      title: 'counter question, streamed through akl-a',
      entry: 0,
      account: 'gear-menders-harbour',
      model: 'repair',
      question: 'Can a torn tent fly be patched before Friday?',
    }),
    await streamChat(environment, {
      title: 'defect report, streamed through akl-c',
      entry: 2,
      account: 'concessionaria-litoral',
      model: 'report',
      question: 'Report the cracks on segment 12 of BR-101.',
    }),
    await postTwice(environment, {
      title: 'booking sent twice under one key through akl-b',
      account: 'gear-menders-central',
      path: '/services/booking/bookings',
      content: {item: 'tent', customer: 'walk-in 7'},
      resource: 'bookings',
      serviceUrls: environment.bookingUrls,
    }),
    await postTwice(environment, {
      title: 'work order sent twice under one key through akl-b',
      account: 'inspetoria-estadual',
      path: '/services/work-orders/work-orders',
      content: {segment: 12, work: 'seal cracks'},
      resource: 'work-orders',
      serviceUrls: environment.portalUrls,
    }),
    await callWithWrongKey(environment),
  ];
}

interface ChatSample {
  readonly title: string;
  readonly entry: number;
  readonly account: string;
  readonly model: string;
  readonly question: string;
}

async function streamChat(
  {accountKeys, deployment}: QuickstartEnvironment,
  sample: ChatSample,
): Promise<SampleOutcome> {
  const result = await streamCompletion({
    url: deployment.entries[sample.entry].callersUrl,
    headers: {authorization: `Bearer ${accountKeys[sample.account]}`},
    body: {
      model: sample.model,
      max_tokens: SAMPLE_TOKEN_COUNT,
      messages: [{role: 'user', content: sample.question}],
    },
  });
  const tokens = result.tokenTimesMs.length;
  return {
    title: sample.title,
    ok: result.isComplete && tokens === SAMPLE_TOKEN_COUNT,
    detail: `${result.status}, ${tokens} tokens: ${result.text}`,
  };
}

interface PostSample {
  readonly title: string;
  readonly account: string;
  readonly path: string;
  readonly content: object;
  readonly resource: string;
  readonly serviceUrls: readonly string[];
}

async function postTwice(
  {accountKeys, deployment}: QuickstartEnvironment,
  sample: PostSample,
): Promise<SampleOutcome> {
  const post = (): Promise<Response<string>> =>
    got.post(deployment.entries[1].callersUrl + sample.path, {
      json: sample.content,
      headers: {
        authorization: `Bearer ${accountKeys[sample.account]}`,
        'idempotency-key': `${sample.resource}-1`,
      },
      retry: {limit: 0},
      throwHttpErrors: false,
    });
  const answers = [await post(), await post()];
  const records = await countRecords(sample);
  const statuses = answers.map(answer => answer.statusCode);
  return {
    title: sample.title,
    ok: records === 1 && answers[0].body === answers[1].body,
    detail: `${statuses.join(' and ')}, records made: ${records}, answer: ${answers[0].body}`,
  };
}

async function countRecords(sample: PostSample): Promise<number> {
  const logs = await Promise.all(
    sample.serviceUrls.map(url =>
      got(`${url}/control/log`).json<{records: unknown[]}>(),
    ),
  );
  return logs.reduce((sum, log) => sum + log.records.length, 0);
}

async function callWithWrongKey({
  deployment,
}: QuickstartEnvironment): Promise<SampleOutcome> {
  const answer = await got.post(
    `${deployment.entries[0].callersUrl}/v1/chat/completions`,
    {
      json: {model: 'repair', messages: [{role: 'user', content: 'Hello'}]},
      headers: {authorization: 'Bearer sk-unknown'},
      retry: {limit: 0},
      throwHttpErrors: false,
    },
  );
  return {
    title: 'a call with an unknown key is refused, not run',
    ok: answer.statusCode === 401 && answer.body.includes('"not_run"'),
    detail: `${answer.statusCode}, ${answer.body}`,
  };
}
