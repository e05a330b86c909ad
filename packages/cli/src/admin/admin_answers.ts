/** Answers of the administration API, as far as the command reads them. */

import {z} from 'zod';

/** Unknown fields pass, so that a newer instance can be asked. */
const fault = z.looseObject({path: z.string(), message: z.string()});

/** How a submitted ticket ended. */
export const submitAnswer = z.looseObject({
  outcome: z.string(),
  revision: z.number().optional(),
  faults: z.array(fault).default([]),
  /** The object that a higher ticket has touched, and that ticket. */
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

/** A list, or the one ticket that was asked for. */
export const ticketsAnswer = z.looseObject({tickets: z.array(ticketAnswer)});

/** What an instance sees and does. */
export const statusAnswer = z.looseObject({
  instance: z.string(),
  ready: z.boolean(),
  reason: z.string().optional(),
  revision: z.number(),
  /** Absent where the instance does not tell. */
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
  /** What this instance has counted and no seal has taken in yet. */
  counters: z.looseObject({windows: z.array(usageWindow)}),
  sealed: z.discriminatedUnion('kind', [
    z.looseObject({
      kind: z.literal('windows'),
      windows: z.array(usageWindow),
    }),
    z.looseObject({kind: z.literal('unavailable'), reason: z.string()}),
  ]),
});

/** Refusals of the listener itself, such as for a wrong key. */
export const errorAnswer = z.looseObject({message: z.string()});
