/** Tokens of the container that creates the commands. */

/** Bound to the {@link Terminal} in use. */
export const TERMINAL = Symbol('Terminal');
/** Bound once for each command. */
export const COMMAND = Symbol('CliCommand');
/** Bound to the {@link ConfigurationReader} of the users' platform. */
export const CONFIGURATION_READER = Symbol('ConfigurationReader');
