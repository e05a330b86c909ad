/**
 * Shapes of the rows that instances share. Another writer, or an instance of
 * another version, may leave rows of any other shape in the same tables.
 */

import type {ReportedCrash} from '@snipestage/policy/crash_records.js';
import type {RouteDemand} from '@snipestage/routing/demand_meter.js';
import type {RouteId} from '@snipestage/routing/route.js';
import type {
  Branded,
  DataCentreId,
  EndpointId,
  Fingerprint,
  PromptPartId,
} from '@snipestage/types/ids.js';
import * as z from 'zod/mini';
import type {CountsValue} from './usage_rows.js';

/** Crashes are evicted long before they are a day old. */
const MAX_AGE_MS = 86_400_000;
/** Bounds the work that one row of another writer causes. */
const MAX_ITEMS = 10_000;
const MAX_INSTANCES = 100_000;
/** The latest time that JavaScript represents. */
const MAX_EPOCH_MS = 8.64e15;
/** Larger figures are no measurements, and sums with them lose all others. */
const MAX_FIGURE = 1e12;

/** Text that serves as an id. */
function idSchema<Id extends Branded<string, string>>() {
  return z.pipe(
    z.string(),
    z.transform(text => text as Id),
  );
}

function idsSchema<Id extends Branded<string, string>>() {
  return z.array(idSchema<Id>()).check(z.maxLength(MAX_ITEMS));
}

const figureSchema = z.number().check(z.gte(0), z.lte(MAX_FIGURE));
const countSchema = z.int().check(z.gte(0));

const crashSchema = z.object({
  id: z.string(),
  endpoint: idSchema<EndpointId>(),
  endpointIncarnation: z.optional(z.number()),
  dataCentre: idSchema<DataCentreId>(),
  ageMs: z.number().check(z.gte(0), z.lte(MAX_AGE_MS)),
  inFlight: idsSchema<Fingerprint>(),
  parts: z.optional(idsSchema<PromptPartId>()),
  alone: z.optional(z.boolean()),
  isConfirmed: z.optional(z.boolean()),
  cleared: idsSchema<Fingerprint>(),
  clearedParts: z.optional(idsSchema<PromptPartId>()),
  provenParts: z.optional(idsSchema<PromptPartId>()),
});

const demandSchema = z.pipe(
  z.object({
    route: idSchema<RouteId>(),
    pauseTargetMs: z.optional(figureSchema),
    workPerS: figureSchema,
    requestsPerS: figureSchema,
    meanPromptTokens: figureSchema,
  }),
  z.transform(({pauseTargetMs, ...rest}) => ({...rest, pauseTargetMs})),
);
const demandsSchema = z.array(demandSchema).check(z.maxLength(MAX_ITEMS));

const countsSchema = z.object({
  counts: z.record(z.string(), countSchema),
  isFinal: z.boolean(),
  demands: z.catch(z.optional(z.record(z.string(), demandsSchema)), undefined),
});

const tieSchema = z.object({
  tieMs: z.number().check(z.gte(-MAX_EPOCH_MS), z.lte(MAX_EPOCH_MS)),
});
const eraSchema = z.object({
  era: countSchema,
  sinceEpochMs: z.number().check(z.gte(0), z.lte(MAX_EPOCH_MS)),
});

const demandValueSchema = z.object({demands: demandsSchema});
const instancesValueSchema = z.object({
  count: z.int().check(z.gte(1), z.lte(MAX_INSTANCES)),
});

/**
 * Reads a crash that an instance reported.
 *
 * @returns undefined when the value has another shape.
 * @example
 * const crash = readCrash(parseJson(row.data));
 */
export function readCrash(value: unknown): ReportedCrash | undefined {
  const parsed = crashSchema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}

/**
 * Reads the demand of a service, summed over all instances.
 *
 * @returns undefined when the value has another shape.
 * @example
 * const demands = readDemands(parseJson(row.data));
 */
export function readDemands(
  value: unknown,
): readonly RouteDemand[] | undefined {
  const parsed = demandValueSchema.safeParse(value);
  return parsed.success ? parsed.data.demands : undefined;
}

/**
 * Reads the published number of instances.
 *
 * @returns undefined when the value has another shape.
 * @example
 * const count = readInstanceCount(parseJson(row.data));
 */
export function readInstanceCount(value: unknown): number | undefined {
  const parsed = instancesValueSchema.safeParse(value);
  return parsed.success ? parsed.data.count : undefined;
}

/**
 * Reads counts of a window, or its seal; malformed demands are left out.
 *
 * @returns undefined when the value has another shape.
 * @example
 * const counts = readCountsValue(row.value);
 */
export function readCountsValue(value: unknown): CountsValue | undefined {
  const parsed = countsSchema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}

/**
 * Reads the offset of the time of day from the store's clock, in ms.
 *
 * @returns undefined when the value has another shape.
 * @example
 * const tieMs = readTie(row.value);
 */
export function readTie(value: unknown): number | undefined {
  const parsed = tieSchema.safeParse(value);
  return parsed.success ? parsed.data.tieMs : undefined;
}

/**
 * Reads when an era of the store began.
 *
 * @returns undefined when the value has another shape.
 * @example
 * const {era, sinceEpochMs} = readEra(row.value) ?? NO_ERA;
 */
export function readEra(
  value: unknown,
): z.output<typeof eraSchema> | undefined {
  const parsed = eraSchema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}

/**
 * Reads a count of a row of one figure.
 *
 * @returns undefined when it isn't a whole number from 0 on.
 * @example
 * const next = readCount(value?.next);
 */
export function readCount(value: unknown): number | undefined {
  const parsed = countSchema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}
