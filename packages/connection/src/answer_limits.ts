/** Bounds on what is read of one answer of an endpoint. */

/**
 * Longest event of a stream, together with comments and repeated events before
 * it. It is held until it is complete.
 */
export const MAX_EVENT_BYTES = 1_048_576;

/** Longest answer that is read as a whole. */
export const MAX_ANSWER_BYTES = 67_108_864;
