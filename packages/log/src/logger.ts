/** Structured log lines; the `DEBUG` variable selects which are written. */

import createDebug from 'debug';
import {redact} from './redaction.js';

/** Log levels in order of increasing severity. */
export const LOG_LEVELS = ['debug', 'info', 'warn', 'error'] as const;

/** One of {@link LOG_LEVELS}. */
export type LogLevel = (typeof LOG_LEVELS)[number];

/** Fields of a line besides its event, such as `requestId`. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Options of {@link Logger}. */
export interface LoggerOptions {
  /** Part of the process that logs, such as `lease` or `callers`. */
  readonly component: string;
  /** Fields that are added to each line. */
  readonly fields?: LogFields;
  /** Writes one line, including its line end; by default to standard error. */
  readonly write?: (line: string) => void;
  readonly nowEpochMs?: () => number;
}

const NAMESPACE = 'snipestage';

/** The namespaces that are written when `DEBUG` is not set. */
export const DEFAULT_NAMESPACES = ['info', 'warn', 'error']
  .map(level => `${NAMESPACE}:*:${level}`)
  .join(',');

/**
 * Writes one JSON object per line: `time`, `level`, `component`, `event`, then
 * the fields, with secrets redacted. Each level of each component is a namespace
 * `snipestage:<component>:<level>` of the `debug` library, which decides what
 * is written; without `DEBUG`, the levels info, warn and error are.
 *
 * @example
 * const logger = new Logger({component: 'lease'});
 * logger.info('lease_acquired', {dataCentre, fencingToken});
 */
export class Logger {
  private readonly debuggers: Readonly<Record<LogLevel, createDebug.Debugger>>;
  private readonly write: (line: string) => void;
  private readonly nowEpochMs: () => number;

  constructor(private readonly options: LoggerOptions) {
    enableDefaultNamespaces();
    const debuggerOf = (level: LogLevel) =>
      createDebug(`${NAMESPACE}:${options.component}:${level}`);
    this.debuggers = {
      debug: debuggerOf('debug'),
      info: debuggerOf('info'),
      warn: debuggerOf('warn'),
      error: debuggerOf('error'),
    };
    this.write = options.write ?? (line => void process.stderr.write(line));
    this.nowEpochMs = options.nowEpochMs ?? Date.now;
  }

  /** Returns a logger that adds the fields to each of its lines. */
  withFields(fields: LogFields): Logger {
    return new Logger({
      ...this.options,
      fields: {...this.options.fields, ...fields},
    });
  }

  /** Returns a logger of another component with the same output and fields. */
  forComponent(component: string): Logger {
    return new Logger({...this.options, component});
  }

  debug(event: string, fields?: LogFields): void {
    this.log('debug', event, fields);
  }

  info(event: string, fields?: LogFields): void {
    this.log('info', event, fields);
  }

  warn(event: string, fields?: LogFields): void {
    this.log('warn', event, fields);
  }

  error(event: string, fields?: LogFields): void {
    this.log('error', event, fields);
  }

  private log(level: LogLevel, event: string, fields?: LogFields): void {
    if (!this.debuggers[level].enabled) return;
    const head = {
      time: new Date(this.nowEpochMs()).toISOString(),
      level,
      component: this.options.component,
      event,
    };
    const rest = redact({...this.options.fields, ...fields});
    // The head is repeated at the end so that no field can override it; the
    // first copy sets the order.
    this.write(`${JSON.stringify({...head, ...rest, ...head})}\n`);
  }
}

/** The `debug` library stores its selection in `DEBUG`; an earlier one stays. */
function enableDefaultNamespaces(): void {
  if (process.env.DEBUG === undefined) createDebug.enable(DEFAULT_NAMESPACES);
}
