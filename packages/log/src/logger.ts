/** Structured log lines; the `DEBUG` variable chooses which are written. */

import createDebug from 'debug';
import {redact} from './redaction.js';

/** From the least to the most grave. */
export const LOG_LEVELS = ['debug', 'info', 'warn', 'error'] as const;

/** One of {@link LOG_LEVELS}. */
export type LogLevel = (typeof LOG_LEVELS)[number];

/** What a line tells besides its event, such as `requestId`. */
export type LogFields = Readonly<Record<string, unknown>>;

/** What a {@link Logger} is made from. */
export interface LoggerOptions {
  /** Part of the process that speaks, such as `lease` or `callers`. */
  readonly component: string;
  /** Fields of each line. */
  readonly fields?: LogFields;
  /** Takes one line with its line end; standard error by default. */
  readonly write?: (line: string) => void;
  readonly nowEpochMs?: () => number;
}

const NAMESPACE = 'snipestage';

/** What is written when `DEBUG` is not set. */
export const DEFAULT_NAMESPACES = ['info', 'warn', 'error']
  .map(level => `${NAMESPACE}:*:${level}`)
  .join(',');

/**
 * Writes one JSON object a line: `time`, `level`, `component`, `event`, then
 * the fields, without secrets. Each level of each component is a namespace
 * `snipestage:<component>:<level>` of the `debug` library, which decides what
 * is written; without `DEBUG` that is info and graver.
 *
 * @example
 * const logger = new Logger({component: 'lease'});
 * logger.info('lease_taken', {dataCentre, fencingToken});
 */
export class Logger {
  private readonly switches: Readonly<Record<LogLevel, createDebug.Debugger>>;
  private readonly write: (line: string) => void;
  private readonly nowEpochMs: () => number;

  constructor(private readonly options: LoggerOptions) {
    enableDefaultNamespaces();
    const switchOf = (level: LogLevel) =>
      createDebug(`${NAMESPACE}:${options.component}:${level}`);
    this.switches = {
      debug: switchOf('debug'),
      info: switchOf('info'),
      warn: switchOf('warn'),
      error: switchOf('error'),
    };
    this.write = options.write ?? (line => void process.stderr.write(line));
    this.nowEpochMs = options.nowEpochMs ?? Date.now;
  }

  /** A logger that adds the fields to each of its lines. */
  withFields(fields: LogFields): Logger {
    return new Logger({
      ...this.options,
      fields: {...this.options.fields, ...fields},
    });
  }

  /** A logger of another component that writes to the same place. */
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
    if (!this.switches[level].enabled) return;
    const head = {
      time: new Date(this.nowEpochMs()).toISOString(),
      level,
      component: this.options.component,
      event,
    };
    const rest = redact({...this.options.fields, ...fields});
    // The head goes last so that no field can pass for another event.
    this.write(`${JSON.stringify({...head, ...rest, ...head})}\n`);
  }
}

/** `debug` keeps its choice in `DEBUG`, so a choice made earlier stands. */
function enableDefaultNamespaces(): void {
  if (process.env.DEBUG === undefined) createDebug.enable(DEFAULT_NAMESPACES);
}
