/** Limit of the backoff that an endpoint may request. */

/** Longest backoff that is honoured; endpoints that ask for more get this one. */
export const MAX_BACKOFF_MS = 3_600_000;
