/** The exit codes of `snipestage`; scripts may rely on them. */

/** Done. */
export const EXIT_OK = 0;
/** A fault of the program itself. */
export const EXIT_INTERNAL = 1;
/** The command line is wrong: unknown option, missing argument or key. */
export const EXIT_USAGE = 2;
/** The input has faults; all are printed and nothing took effect. */
export const EXIT_INVALID_INPUT = 3;
/** The system refused: conflict, superseded, key not accepted, not found. */
export const EXIT_REFUSED = 4;
/** No instance could be reached, or whether it took effect is not known. */
export const EXIT_UNREACHABLE = 5;

/** Any of the codes above. */
export type ExitCode =
  | typeof EXIT_OK
  | typeof EXIT_INTERNAL
  | typeof EXIT_USAGE
  | typeof EXIT_INVALID_INPUT
  | typeof EXIT_REFUSED
  | typeof EXIT_UNREACHABLE;

/** What each code means, for `--help` and the documentation. */
export const EXIT_CODE_MEANINGS: Readonly<Record<ExitCode, string>> = {
  [EXIT_OK]: 'done',
  [EXIT_INTERNAL]: 'internal error',
  [EXIT_USAGE]: 'the command line is wrong',
  [EXIT_INVALID_INPUT]: 'the input has faults; nothing took effect',
  [EXIT_REFUSED]: 'the system refused (conflict, superseded, key, not found)',
  [EXIT_UNREACHABLE]: 'no instance reached, or the outcome is not known',
};
