/** Schemas of the objects that change tickets carry; unknown fields are faults. */

import {isIP} from 'node:net';
import {
  durationMsSchema,
  keyHashSchema,
  nameSchema,
} from '@snipestage/settings/field_schemas.js';
import {z} from 'zod';

const MAX_TIER = 99;
const MAX_GUARANTEED_SHARE = 0.2;
const MAX_ID_LENGTH = 128;
const HTTP_METHOD = /^(\*|[A-Z]+)$/;

/** Id of an object; without `/`, which separates the parts of object paths. */
const id = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9._-]*$/,
    'must be lower-case letters, digits, dots, underscores and hyphens',
  )
  .max(MAX_ID_LENGTH);
const poolId = z
  .string()
  .regex(/^[^/]+\/[^/]+$/, 'must be `<data centre>/<model>`');
const count = z.int().min(0);
const pricePerHour = z.number().min(0);

const dataCentre = z.strictObject({
  id: nameSchema,
  region: nameSchema,
  leaveByEpochMs: z.int().positive().optional(),
  evacuated: z.boolean().optional(),
});

const requestClass = z.strictObject({
  id,
  tier: z.int().min(0).max(MAX_TIER),
  firstTokenTargetMs: durationMsSchema,
  betweenTokensTargetMs: durationMsSchema,
  deadlineMs: durationMsSchema,
  guaranteedShare: z.number().min(0).max(MAX_GUARANTEED_SHARE),
  cheapEndpointsAllowed: z.boolean(),
});

const clientAccount = z
  .strictObject({
    id,
    keyHashes: z.array(keyHashSchema),
    requestClasses: z.array(id).min(1),
    defaultRequestClass: id,
    serveCutOffForMs: durationMsSchema.optional(),
    maxInFlightPerInstance: z.int().positive().optional(),
  })
  .refine(
    account => account.requestClasses.includes(account.defaultRequestClass),
    {path: ['defaultRequestClass'], error: 'must be one of requestClasses'},
  );

const model = z.strictObject({
  id,
  typicalOutputTokens: z.int().positive(),
});

const service = z.strictObject({
  id,
  operations: z.array(
    z.strictObject({
      method: z
        .string()
        .regex(HTTP_METHOD, 'must be an HTTP method in capitals, or `*`'),
      pathPrefix: z.string().startsWith('/'),
      idempotent: z.boolean(),
    }),
  ),
  timeoutMs: durationMsSchema,
});

const endpoint = z.strictObject({
  id,
  dataCentre: nameSchema,
  kind: z.enum(['regular', 'cheap']),
  url: z
    .string()
    .refine(isBaseUrl, 'must be http://<IP number>:<port> and no more'),
  serves: z.discriminatedUnion('kind', [
    z.strictObject({kind: z.literal('model'), model: id}),
    z.strictObject({kind: z.literal('service'), service: id}),
  ]),
  maxConcurrency: z.int().positive(),
  leaving: z.boolean(),
});

const endpointPool = z
  .strictObject({
    id: poolId,
    dataCentre: nameSchema,
    model: id,
    minRegular: count,
    maxRegular: count,
    maxCheap: count,
    maxConcurrencyPerEndpoint: z.int().positive(),
    regularPricePerHour: pricePerHour,
    cheapPricePerHour: pricePerHour,
    enginesCheckFencing: z.boolean(),
  })
  .refine(pool => pool.id === `${pool.dataCentre}/${pool.model}`, {
    path: ['id'],
    error: 'must be `<data centre>/<model>` of the pool itself',
  })
  .refine(pool => pool.minRegular <= pool.maxRegular, {
    path: ['minRegular'],
    error: 'must not be above maxRegular',
  });

/** A schema for each kind of object. */
export const objectSchemas = {
  data_centre: dataCentre,
  request_class: requestClass,
  client_account: clientAccount,
  model,
  service,
  endpoint,
  endpoint_pool: endpointPool,
} as const;

/** A schema for the id of each kind of object, as a removal names it. */
export const idSchemas = {
  data_centre: nameSchema,
  request_class: id,
  client_account: id,
  model: id,
  service: id,
  endpoint: id,
  endpoint_pool: poolId,
} as const;

/**
 * Whether the text is a plain `http` URL of an IP address. Host names are
 * refused: if one resolved differently later, requests would be sent to a
 * machine that no ticket named.
 */
function isBaseUrl(text: string): boolean {
  if (!URL.canParse(text)) return false;
  const url = new URL(text);
  const host = url.hostname.replace(/^\[|\]$/g, '');
  const hasOnlyOrigin =
    url.pathname === '/' && url.search === '' && url.hash === '';
  const hasNoCredentials = url.username === '' && url.password === '';
  return (
    url.protocol === 'http:' &&
    isIP(host) !== 0 &&
    hasOnlyOrigin &&
    hasNoCredentials
  );
}
