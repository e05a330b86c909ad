/** Hashes of the client accounts' and operators' keys. */

import {createHash, randomBytes, timingSafeEqual} from 'node:crypto';
import type {
  ClientAccount,
  Configuration,
} from '@snipestage/types/configuration.js';
import {type KeyHash, brandAs} from '@snipestage/types/ids.js';

const PREFIX = 'sha256:';
const KEY_BYTES = 32;

/**
 * Hashes a key for storing. There is no salt and no slow hash: keys are 256
 * random bits, so that neither a table of hashes made beforehand nor guessing
 * finds one, and the hash must be cheap since every request pays for it.
 *
 * @example
 * hashKey('sk-…'); // 'sha256:5e88…'
 */
export function hashKey(key: string): KeyHash {
  const digest = createHash('sha256').update(key, 'utf8').digest('hex');
  return brandAs<KeyHash>(PREFIX + digest);
}

/**
 * Whether the key is the one behind the hash, in a time that does not depend
 * on where they differ.
 *
 * @example
 * keyMatches(bearerToken, settings.admin.operatorKeyHashes[0]);
 */
export function keyMatches(key: string, hash: KeyHash): boolean {
  return hashesEqual(hashKey(key), hash);
}

/**
 * A new random key.
 *
 * @example
 * const key = generateKey(); // 'sk-' and 43 characters
 */
export function generateKey(): string {
  return `sk-${randomBytes(KEY_BYTES).toString('base64url')}`;
}

/** `undefined` stands for a key that more than one account claims. */
interface KeyOwner {
  readonly hash: KeyHash;
  readonly account: ClientAccount | undefined;
}

/**
 * Finds the client account of a key; built anew for each configuration, so
 * that a withdrawn key is gone with the revision that withdrew it.
 *
 * A key in two accounts is nobody's: instances could otherwise pick different
 * ones, and a request would run for an account, and on a bill, that is not the
 * caller's. `checkReferences` refuses such a ticket; two racing tickets can
 * still bring it about.
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
   * The account whose key it is. The lookup goes by the hash of the key, of
   * which a caller can't choose the start, so that the time it takes tells
   * nothing of the stored ones; the match itself is compared in constant time.
   *
   * @example
   * const account = index.find(bearerToken);
   */
  find(key: string): ClientAccount | undefined {
    return this.findByHash(hashKey(key));
  }

  /**
   * The account of an already hashed key, to ask again whether the key of a
   * queued or running request still holds.
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
