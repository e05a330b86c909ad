/** Hashes that recognize repeated requests, prompts and prompt prefixes. */

import {createHash} from 'node:crypto';
import {
  brandAs,
  type ClientAccountId,
  type Fingerprint,
} from '@snipestage/types/ids.js';

const PREFIX_CHARACTERS = 2048;
const PREFIX_HASH_DIGITS = 16;
const LOGGED_DIGITS = 12;

/**
 * Fingerprint of a request's content within its client account.
 *
 * @example
 * const fingerprint = fingerprintOf(account.id, body);
 */
export function fingerprintOf(
  clientAccount: ClientAccountId,
  ...parts: ReadonlyArray<Buffer | string>
): Fingerprint {
  const hash = createHash('sha256').update(clientAccount);
  for (const part of parts) hash.update('\0').update(part);
  return brandAs<Fingerprint>(hash.digest('hex'));
}

/**
 * Leading digits of a fingerprint, enough to recognize it in logs.
 *
 * @example
 * logger.info('attempt_failed', {fingerprint: abbreviate(fingerprint)});
 */
export function abbreviate(fingerprint: Fingerprint): string {
  return fingerprint.slice(0, LOGGED_DIGITS);
}

/**
 * Fingerprint of a model and prompt within a client account. It leaves out the
 * sampling parameters: a prompt that crashes engines does so whatever output
 * length is requested, and callers change such fields when they retry.
 *
 * @example
 * const fingerprint = promptFingerprintOf(account.id, body);
 */
export function promptFingerprintOf(
  clientAccount: ClientAccountId,
  body: Readonly<Record<string, unknown>>,
): Fingerprint {
  const prompt = JSON.stringify(body.messages ?? body.prompt ?? null);
  return fingerprintOf(clientAccount, String(body.model), prompt);
}

/**
 * Hash of a prompt's prefix; `undefined` without a prompt. Engines cache what
 * they computed for a prefix, so requests that share it are cheaper at the same
 * engine.
 *
 * @example
 * const prefixHash = prefixHashOf({messages});
 */
export function prefixHashOf(
  body: Readonly<Record<string, unknown>>,
): string | undefined {
  const prompt = body.messages ?? body.prompt;
  if (prompt === undefined) return undefined;
  const start = JSON.stringify(prompt).slice(0, PREFIX_CHARACTERS);
  const digest = createHash('sha256').update(start).digest('hex');
  return digest.slice(0, PREFIX_HASH_DIGITS);
}
