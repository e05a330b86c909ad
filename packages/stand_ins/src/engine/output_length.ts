/** Lengths of answers, which nobody knows beforehand. */

import {createHash} from 'node:crypto';
import {exponential, seededRandom} from '../random.js';

const LONGEST_PER_MEAN = 8;

/**
 * Draws the length of an answer: exponential, at least one token. One prompt
 * and seed give one length, at whichever engine it runs.
 *
 * @example
 * drawLength('user: Patch a tent', 42, 32);
 */
export function drawLength(prompt: string, seed: number, mean: number): number {
  const digest = createHash('sha256').update(`${seed}\n${prompt}`).digest();
  const drawn = exponential(seededRandom(digest.readInt32BE(0)), mean);
  return Math.max(1, Math.min(Math.round(drawn), mean * LONGEST_PER_MEAN));
}
