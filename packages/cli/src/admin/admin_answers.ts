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
  members: z
    .array(
      z.looseObject({
        id: z.string(),
        dataCentre: z.string().optional(),
        state: z.string().optional(),
        revision: z.number().optional(),
      }),
    )
    .default([]),
  roles: z.array(z.string()).default([]),
});

const usageLine = z.looseObject({
  clientAccount: z.string(),
  requestClass: z.string(),
  requests: z.number(),
  promptTokens: z.number(),
  outputTokens: z.number(),
});

/** Usage by window, client account and class. */
export const usageAnswer = z.looseObject({
  /** Of this instance, not yet in a sealed window. */
  open: z.array(usageLine).default([]),
  windows: z
    .array(
      z.looseObject({
        id: z.string(),
        state: z.string(),
        lines: z.array(usageLine).default([]),
      }),
    )
    .default([]),
});

/** Refusals of the listener itself, such as for a wrong key. */
export const errorAnswer = z.looseObject({message: z.string()});
