/** Tokens by which the container hands out what commands are made from. */

/** Bound to the {@link Terminal} in use. */
export const TERMINAL = Symbol('Terminal');
/** Bound once for each command. */
export const COMMAND = Symbol('CliCommand');
