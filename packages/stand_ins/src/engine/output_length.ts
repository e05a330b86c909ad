/** Draws lengths of answers, which callers can't predict. */

import {createHash} from 'node:crypto';
import {exponential, seededRandom} from '../random.js';

const MAX_LENGTH_PER_MEAN = 8;
const MEAN_MARK = /<<mean:(\d+)>>/;

/**
 * Draws the length of an answer in tokens: exponential, at least 1 and at most
 * 8 times the mean. The same prompt, seed and mean give the same length at
 * every engine.
 *
 * @example
 * drawLength('user: Patch a tent', 42, 32);
 */
export function drawLength(prompt: string, seed: number, mean: number): number {
  const digest = createHash('sha256').update(`${seed}\n${prompt}`).digest();
  const drawn = exponential(seededRandom(digest.readInt32BE(0)), mean);
  return Math.max(1, Math.min(Math.round(drawn), mean * MAX_LENGTH_PER_MEAN));
}

/**
 * Returns a mark that sets the mean length of answers to the prompt it is in.
 *
 * @example
 * const prompt = `${question} ${meanMark(200)}`;
 */
export function meanMark(mean: number): string {
  return `<<mean:${mean}>>`;
}

/** Returns the mean that a prompt's mark sets; `undefined` without a mark. */
export function markedMean(prompt: string): number | undefined {
  const digits = MEAN_MARK.exec(prompt)?.[1];
  return digits === undefined ? undefined : Number(digits);
}
