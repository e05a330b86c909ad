/**
 * Authenticates peers: each side proves that it knows the shared secret without
 * sending it. TLS below that is optional.
 */

import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {ChannelCredentials, Metadata, ServerCredentials} from '@grpc/grpc-js';
import type {EntrySettings} from '@snipestage/settings/entry_settings.js';

const NONCE_KEY = 'x-snipestage-nonce';
const PROOF_KEY = 'x-snipestage-proof';
const NONCE_BYTES = 16;

type Role = 'caller' | 'listener';

function proofOf(secret: string, role: Role, nonce: string): string {
  return createHmac('sha256', secret).update(`${role}:${nonce}`).digest('hex');
}

function readText(metadata: Metadata, key: string): string {
  const [value] = metadata.get(key);
  return typeof value === 'string' ? value : '';
}

function isProof(expected: string, shown: string): boolean {
  const expectedBytes = Buffer.from(expected);
  const shownBytes = Buffer.from(shown);
  if (expectedBytes.length !== shownBytes.length) return false;
  return timingSafeEqual(expectedBytes, shownBytes);
}

/**
 * The metadata with which a caller proves itself when it opens a stream.
 *
 * @example
 * const call = client.exchange(proveCaller(secret));
 */
export function proveCaller(secret: string): Metadata {
  const nonce = randomBytes(NONCE_BYTES).toString('hex');
  const metadata = new Metadata();
  metadata.set(NONCE_KEY, nonce);
  metadata.set(PROOF_KEY, proofOf(secret, 'caller', nonce));
  return metadata;
}

/**
 * The metadata with the listener's own proof, or undefined when the proof of
 * the caller is wrong.
 *
 * @example
 * const answer = answerCaller(secret, call.metadata);
 */
export function answerCaller(
  secret: string,
  received: Metadata,
): Metadata | undefined {
  const nonce = readText(received, NONCE_KEY);
  const expected = proofOf(secret, 'caller', nonce);
  if (nonce === '' || !isProof(expected, readText(received, PROOF_KEY))) {
    return undefined;
  }
  const metadata = new Metadata();
  metadata.set(PROOF_KEY, proofOf(secret, 'listener', nonce));
  return metadata;
}

/**
 * Whether the listener knows the secret too: since the platform's list was
 * made, the address may have been reassigned to a process of another firm.
 *
 * @example
 * call.on('metadata', answer => isListenerProven(secret, sent, answer));
 */
export function isListenerProven(
  secret: string,
  sent: Metadata,
  answer: Metadata,
): boolean {
  const expected = proofOf(secret, 'listener', readText(sent, NONCE_KEY));
  return isProof(expected, readText(answer, PROOF_KEY));
}

/** Credentials for both directions. */
export interface PeerCredentials {
  readonly channel: ChannelCredentials;
  readonly server: ServerCredentials;
}

/**
 * Reads the TLS files of the settings; without settings, streams are plain
 * text.
 *
 * @example
 * const {channel, server} = readPeerCredentials(settings.peer.tls);
 */
export function readPeerCredentials(
  tls: EntrySettings['peer']['tls'],
): PeerCredentials {
  if (tls === undefined) {
    return {
      channel: ChannelCredentials.createInsecure(),
      server: ServerCredentials.createInsecure(),
    };
  }
  const authority = readFileSync(tls.authorityFile);
  const key = readFileSync(tls.keyFile);
  const certificate = readFileSync(tls.certificateFile);
  const requireClientCertificate = true;
  return {
    channel: ChannelCredentials.createSsl(authority, key, certificate),
    server: ServerCredentials.createSsl(
      authority,
      [{private_key: key, cert_chain: certificate}],
      requireClientCertificate,
    ),
  };
}
