/** Schemas of fields that settings and change tickets share. */

import {z} from 'zod';

const MAX_NAME_LENGTH = 64;

/** Name of an instance, data centre or region. */
export const nameSchema = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9-]*$/,
    'must be lower-case letters, digits and hyphens',
  )
  .max(MAX_NAME_LENGTH);

/** An IPv4 or IPv6 address; host names are refused. */
export const ipNumberSchema = z.union([z.ipv4(), z.ipv6()], {
  error: 'must be an IP number',
});

/** An integer number of milliseconds, at least 1. */
export const durationMsSchema = z.int().positive();

/** Hash of a key: `sha256:` and 64 hexadecimal digits. */
export const keyHashSchema = z
  .string()
  .regex(/^sha256:[0-9a-f]{64}$/, 'must come from `snipestage keys hash`');
