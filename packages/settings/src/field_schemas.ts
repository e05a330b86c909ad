/** Schemas of fields that settings and change tickets have in common. */

import {z} from 'zod';

const LONGEST_NAME = 64;

/** Name of an instance, data centre or region. */
export const nameSchema = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9-]*$/,
    'must be lower-case letters, digits and hyphens',
  )
  .max(LONGEST_NAME);

/** An IPv4 or IPv6 number; host names are not resolved. */
export const ipNumberSchema = z.union([z.ipv4(), z.ipv6()], {
  error: 'must be an IP number',
});

/** A whole number of milliseconds, at least one. */
export const durationMsSchema = z.int().positive();

/** `sha256:` and 64 hexadecimal digits. */
export const keyHashSchema = z
  .string()
  .regex(/^sha256:[0-9a-f]{64}$/, 'must come from `snipestage keys hash`');
