/** Schemas of the administration API's answers, with the fields in use. */

import {z} from 'zod';

/** Allows unknown fields, so that answers of newer instances can be read. */
const fault = z.looseObject({path: z.string(), message: z.string()});

/** Outcome of a submitted ticket. */
export const submitAnswer = z.looseObject({
  outcome: z.string(),
  revision: z.number().optional(),
  faults: z.array(fault).default([]),
  /** The object that a ticket with a higher number changed, and that number. */
  path: z.string().optional(),
  by: z.number().optional(),
});

/** All faults of a ticket. */
export const validateAnswer = z.looseObject({faults: z.array(fault)});

const ticketAnswer = z.looseObject({
  number: z.number(),
  author: z.string(),
  reason: z.string(),
  changes: z.array(
    z.looseObject({kind: z.string(), id: z.string(), state: z.unknown()}),
  ),
});

/** All accepted tickets, or the requested one. */
export const ticketsAnswer = z.looseObject({tickets: z.array(ticketAnswer)});

/** State of an instance. */
export const statusAnswer = z.looseObject({
  instance: z.string(),
  ready: z.boolean(),
  reason: z.string().optional(),
  revision: z.number(),
  /** Absent when the instance doesn't report them. */
  members: z
    .array(
      z.looseObject({
        id: z.string(),
        dataCentre: z.string().optional(),
        state: z.string().optional(),
        revision: z.number().optional(),
      }),
    )
    .optional(),
  roles: z.array(z.string()).optional(),
});

const usageLine = z.looseObject({
  clientAccount: z.string(),
  requestClass: z.string(),
  requests: z.number(),
  promptTokens: z.number(),
  outputTokens: z.number(),
});

const usageWindow = z.looseObject({
  /** Its start, in milliseconds since the epoch. */
  window: z.string(),
  lines: z.array(usageLine),
  reported: z.boolean().optional(),
});

/** Usage by window, client account and class. */
export const usageAnswer = z.looseObject({
  /** Usage counted by this instance that is not part of a sealed window yet. */
  counters: z.looseObject({windows: z.array(usageWindow)}),
  sealed: z.discriminatedUnion('kind', [
    z.looseObject({
      kind: z.literal('windows'),
      windows: z.array(usageWindow),
    }),
    z.looseObject({kind: z.literal('unavailable'), reason: z.string()}),
  ]),
});

/** Refusal by the listener itself, such as for a wrong key. */
export const errorAnswer = z.looseObject({message: z.string()});
