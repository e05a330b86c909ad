/** Hashes of the client accounts' and operators' keys. */

import {createHash, randomBytes, timingSafeEqual} from 'node:crypto';
import type {
  ClientAccount,
  Configuration,
} from '@snipestage/types/configuration.js';
import {type KeyHash, brandAs} from '@snipestage/types/ids.js';

const PREFIX = 'sha256:';
const KEY_LENGTH_BYTES = 32;

/**
 * Hashes a key for storage, without a salt and with a fast hash: keys are 256
 * random bits, so that neither a precomputed table nor guessing finds one, and
 * the hash must be cheap, since it is computed for every request.
 *
 * @example
 * hashKey('sk-…'); // 'sha256:5e88…'
 */
export function hashKey(key: string): KeyHash {
  const digest = createHash('sha256').update(key, 'utf8').digest('hex');
  return brandAs<KeyHash>(PREFIX + digest);
}

/**
 * Whether the key has this hash; compares in a time that does not depend on
 * where the hashes differ.
 *
 * @example
 * keyMatches(bearerToken, settings.admin.operatorKeyHashes[0]);
 */
export function keyMatches(key: string, hash: KeyHash): boolean {
  return hashesEqual(hashKey(key), hash);
}

/**
 * Generates a random key.
 *
 * @example
 * const key = generateKey(); // 'sk-' and 43 characters
 */
export function generateKey(): string {
  return `sk-${randomBytes(KEY_LENGTH_BYTES).toString('base64url')}`;
}

/** `account` is undefined if more than one account has the key. */
interface KeyOwner {
  readonly hash: KeyHash;
  readonly account: ClientAccount | undefined;
}

/**
 * Finds the client account of a key. It is rebuilt for each configuration, so
 * that a withdrawn key stops working with the revision that withdrew it.
 *
 * A key in two accounts matches neither: otherwise instances could pick
 * different accounts, and a request would run for, and be billed to, an account
 * that is not the caller's. `checkReferences` reports such a key, so that its
 * ticket is refused, but two concurrent tickets can still produce one.
 */
export class KeyIndex {
  private readonly owners = new Map<KeyHash, KeyOwner>();

  constructor(configuration: Configuration) {
    for (const account of configuration.clientAccounts.values()) {
      for (const hash of new Set(account.keyHashes)) {
        const isClaimed = this.owners.has(hash);
        this.owners.set(hash, {hash, account: isClaimed ? undefined : account});
      }
    }
  }

  /**
   * Returns the account of a key. The lookup uses the hash of the key, whose
   * start a caller can't choose, so that its timing reveals nothing about the
   * stored hashes; the match itself is compared in constant time.
   *
   * @example
   * const account = index.find(bearerToken);
   */
  find(key: string): ClientAccount | undefined {
    return this.findByHash(hashKey(key));
  }

  /**
   * Returns the account of a hashed key, to check again whether the key of a
   * queued or running request is still valid.
   *
   * @example
   * if (index.findByHash(request.keyHash) === undefined) stop(request);
   */
  findByHash(hash: KeyHash): ClientAccount | undefined {
    const owner = this.owners.get(hash);
    if (owner === undefined || !hashesEqual(hash, owner.hash)) return undefined;
    return owner.account;
  }
}

function hashesEqual(left: KeyHash, right: KeyHash): boolean {
  const leftBytes = Buffer.from(left);
  const rightBytes = Buffer.from(right);
  return (
    leftBytes.length === rightBytes.length &&
    timingSafeEqual(leftBytes, rightBytes)
  );
}
