/** Tokens of the container that creates the commands. */

/** Bound to the {@link Terminal} in use. */
export const TERMINAL = Symbol('Terminal');
/** Bound once for each command. */
export const COMMAND = Symbol('CliCommand');
