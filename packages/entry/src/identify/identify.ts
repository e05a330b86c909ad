/** Identifies a request's client account and request class. */

import type {IncomingHttpHeaders} from 'node:http';
import {hashKey} from '@snipestage/configuration/key_hash.js';
import {RequestError} from '@snipestage/errors/request_error.js';
import type {
  ClientAccount,
  RequestClass,
} from '@snipestage/types/configuration.js';
import type {KeyHash} from '@snipestage/types/ids.js';
import type {ConfigurationStore} from '../configure/configuration_store.js';

const BEARER = /^Bearer +(\S+)$/i;

/** The client account and key of a request, and its service level. */
export interface Caller {
  readonly clientAccount: ClientAccount;
  readonly requestClass: RequestClass;
  readonly keyHash: KeyHash;
}

/**
 * Identifies the caller by the request's headers. Called for each request, not
 * once for each connection: a key that is withdrawn while its caller stays
 * connected must stop working.
 *
 * @throws RequestError `invalid_api_key`, `request_class_not_allowed` or
 * `cut_off`, verdict `not_run`.
 * @example
 * const caller = identify(request.headers, store, monotonicNowMs());
 */
export function identify(
  headers: IncomingHttpHeaders,
  store: ConfigurationStore,
  nowMs: number,
): Caller {
  const key = BEARER.exec(headers.authorization ?? '')?.[1];
  const clientAccount = key === undefined ? undefined : store.keys.find(key);
  if (key === undefined || clientAccount === undefined) {
    throw new RequestError('The API key is not valid.', {
      code: 'invalid_api_key',
      verdict: 'not_run',
    });
  }
  checkCutOffLimit(clientAccount, store, nowMs);
  const requestClass = findClass(headers, clientAccount, store);
  return {clientAccount, requestClass, keyHash: hashKey(key)};
}

function findClass(
  headers: IncomingHttpHeaders,
  clientAccount: ClientAccount,
  store: ConfigurationStore,
): RequestClass {
  const requested = headers['x-request-class'];
  const name =
    requested === undefined ? clientAccount.defaultRequestClass : requested;
  const isAllowed = clientAccount.requestClasses.some(id => id === name);
  const requestClass = store.current.requestClasses.get(String(name));
  if (isAllowed && requestClass !== undefined) return requestClass;
  throw new RequestError(
    `The client account may not use the request class "${String(name)}".`,
    {code: 'request_class_not_allowed', verdict: 'not_run'},
  );
}

/**
 * A data centre that is cut off doesn't learn that a key was withdrawn. An
 * account may limit how long it is served on a configuration that can't be
 * confirmed.
 */
function checkCutOffLimit(
  clientAccount: ClientAccount,
  store: ConfigurationStore,
  nowMs: number,
): void {
  const limitMs = clientAccount.serveCutOffForMs;
  if (limitMs === undefined) return;
  if (nowMs - store.lastConfirmedAtMs <= limitMs) return;
  throw new RequestError(
    'This data centre has been cut off for longer than the account allows.',
    {code: 'cut_off', verdict: 'not_run'},
  );
}
