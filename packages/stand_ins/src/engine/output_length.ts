/** Lengths of answers, which nobody knows beforehand. */

import {createHash} from 'node:crypto';
import {exponential, seededRandom} from '../random.js';

const LONGEST_PER_MEAN = 8;
const MEAN_MARK = /<<mean:(\d+)>>/;

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

/**
 * A mark in a prompt that sets the mean length of answers to such prompts.
 *
 * @example
 * const prompt = `${question} ${meanMark(200)}`;
 */
export function meanMark(mean: number): string {
  return `<<mean:${mean}>>`;
}

/** The mean that a prompt's mark sets, if it has one. */
export function markedMean(prompt: string): number | undefined {
  const digits = MEAN_MARK.exec(prompt)?.[1];
  return digits === undefined ? undefined : Number(digits);
}
