/** Stores answers, to replay them when an idempotency key is used again. */

import {isUtf8} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {StoredAnswer} from '@snipestage/agreement/claim_rows.js';
import {RequestError} from '@snipestage/errors/request_error.js';
import type {Platform} from '@snipestage/platform/platform.js';
import type {AttemptId, RequestId} from '@snipestage/types/ids.js';
import type {RecordedAnswer} from './response_recorder.js';

const MAX_INLINE_BYTES = 32 * 1024;
const RETRY_AFTER_MS = 2000;

/**
 * Small UTF-8 answers are stored in the claim's row, others in the object
 * store.
 */
export class StoredAnswers {
  constructor(private readonly platform: Platform) {}

  /**
   * Stores an answer; gives `undefined` when the object store didn't confirm
   * the write.
   */
  async store(
    attempt: AttemptId,
    answer: RecordedAnswer,
  ): Promise<StoredAnswer | undefined> {
    const {status, headers, body} = answer;
    if (body.length <= MAX_INLINE_BYTES && isUtf8(body)) {
      const text = body.toString('utf8');
      return {status, headers, body: {kind: 'inline', text}};
    }
    const key = `answers/${attempt}`;
    const put = await this.platform.putObject(key, body);
    if (put.kind === 'unknown') return undefined;
    return {status, headers, body: {kind: 'object', key}};
  }

  /**
   * Sends a stored answer as the whole response.
   *
   * @throws RequestError `idempotency_unavailable`, verdict `ran`, when the
   * answer's object is absent, or while the object store can't be read.
   */
  async replay(
    answer: StoredAnswer,
    response: ServerResponse,
    id: RequestId,
  ): Promise<void> {
    const body = await this.read(answer);
    if (response.destroyed) return;
    response.writeHead(answer.status, {
      ...answer.headers,
      'content-length': body.length,
      'idempotency-replayed': 'true',
      'x-request-id': id,
    });
    response.end(body);
  }

  private async read(answer: StoredAnswer): Promise<Buffer> {
    if (answer.body.kind === 'inline') return Buffer.from(answer.body.text);
    const object = await this.platform.getObject(answer.body.key);
    if (object.kind === 'found') return object.body;
    throw new RequestError('The kept answer can not be read now.', {
      code: 'idempotency_unavailable',
      verdict: 'ran',
      retryAfterMs: object.kind === 'absent' ? undefined : RETRY_AFTER_MS,
    });
  }
}
