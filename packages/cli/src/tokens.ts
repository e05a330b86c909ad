/** Tokens by which the container hands out what commands are made from. */

export const TERMINAL = Symbol('Terminal');
export const COMMAND = Symbol('CliCommand');
