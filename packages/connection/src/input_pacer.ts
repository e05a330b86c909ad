/**
 * Bounds the processor time that parsing the input of single connections takes.
 *
 * Some input costs far more to parse than to send, such as chunks of one byte.
 * Node.js reads up to 2 MB of a connection before it turns to the next one.
 */

import type {Server} from 'node:net';
import type {Duplex} from 'node:stream';
import {chooseInput, InputAccount, pauseAfter} from './input_shares.js';

/** Passes what connections receive on in parts, in turns if they are costly. */
export class InputPacer {
  private readonly waiting = new Set<PacedInput>();
  private isBusy = false;
  /** What input has taken in this turn of the event loop. */
  private turnMs = 0;

  constructor(
    private readonly nowMs: () => number = () => performance.now(),
    private readonly sleep: (run: () => void, delayMs: number) => void = (
      run,
      delayMs,
    ) => void setTimeout(run, delayMs),
  ) {}

  /**
   * Paces a connection from now on. Its readers see the same events as before,
   * `data` possibly later and in smaller parts.
   *
   * @example
   * pacer.pace(connection);
   */
  pace(connection: Duplex): void {
    new PacedInput(connection, {
      nowMs: this.nowMs,
      onWaiting: input => this.add(input),
      onOver: input => this.waiting.delete(input),
      countWaiting: () => this.waiting.size,
      turnMs: () => this.turnMs,
      onPassed: costMs => this.noteTurn(costMs),
    });
  }

  private noteTurn(costMs: number): void {
    if (this.turnMs === 0) setImmediate(() => (this.turnMs = 0));
    this.turnMs += costMs;
  }

  /**
   * Paces all connections that a server accepts from now on.
   *
   * @example
   * pacer.paceServer(http.createServer(handle));
   */
  paceServer(server: Server): void {
    server.on('connection', socket => {
      // Without a listener, Node.js parses what it reads unseen.
      socket.on('data', () => undefined);
      this.pace(socket);
    });
  }

  private add(input: PacedInput): void {
    this.waiting.add(input);
    if (!this.isBusy) this.runAfter(0);
  }

  private runAfter(delayMs: number): void {
    this.isBusy = true;
    this.sleep(() => this.runNext(), delayMs);
  }

  private runNext(): void {
    const input = chooseInput(
      this.waiting,
      ({account}) => account,
      this.nowMs(),
    );
    if (input === undefined) {
      this.isBusy = false;
      return;
    }
    this.waiting.delete(input);
    input.passNext(costMs => this.runAfter(pauseAfter(costMs)));
  }
}

/** Options of {@link PacedInput}. */
interface PacedInputOptions {
  readonly nowMs: () => number;
  /** Called when it has something for its reader and has to wait. */
  readonly onWaiting: (input: PacedInput) => void;
  /** Number of the connections that wait. */
  readonly countWaiting: () => number;
  /** Time that all input has taken in this turn of the event loop. */
  readonly turnMs: () => number;
  readonly onPassed: (costMs: number) => void;
  /** Called when nothing of it may be passed on for now. */
  readonly onOver: (input: PacedInput) => void;
}

/** What one connection has received and its reader hasn't got yet. */
class PacedInput {
  readonly account = new InputAccount();
  private readonly held: Buffer[] = [];
  private isPassing = false;
  private isHeld = false;
  /** Whether the reader wants data while the connection is held. */
  private isFlowing = true;
  private readonly emit: Duplex['emit'];

  constructor(
    private readonly connection: Duplex,
    private readonly options: PacedInputOptions,
  ) {
    this.emit = connection.emit.bind(connection);
    connection.emit = (event: string | symbol, ...args: unknown[]) => {
      if (event === 'data') {
        this.take(args[0] as Buffer);
        return true;
      }
      if (event === 'end') this.passRest();
      if (event === 'close') this.drop();
      return this.emit(event, ...args);
    };
  }

  /** Passes the next part on, and calls back with the time that it took. */
  passNext(onPassed: (costMs: number) => void): void {
    this.passPart(costMs => {
      onPassed(costMs);
      this.goOn();
    });
  }

  private take(bytes: Buffer): void {
    this.held.push(bytes);
    if (this.isPassing || this.isHeld) return;
    this.goOn();
  }

  /** Passes on what may be passed at once, and waits with the rest. */
  private goOn(): void {
    const {connection, options} = this;
    if (!this.isHeld) this.isFlowing = !connection.isPaused();
    if (this.held.length === 0) {
      this.release();
    } else if (!this.isFlowing) {
      this.hold();
    } else if (this.account.mustWait(options.nowMs(), options.countWaiting())) {
      this.hold();
      options.onWaiting(this);
    } else this.passPart(() => this.goOn());
  }

  /** The time includes what the reader does right after its callbacks. */
  private passPart(onPassed: (costMs: number) => void): void {
    const {nowMs} = this.options;
    const [first] = this.held;
    if (first === undefined) return onPassed(0);
    const partBytes = this.account.partBytes(this.options.turnMs());
    if (first.length <= partBytes) this.held.shift();
    else this.held[0] = first.subarray(partBytes);
    const beganAtMs = nowMs();
    this.isPassing = true;
    this.emit('data', first.subarray(0, partBytes));
    process.nextTick(() => {
      this.isPassing = false;
      const costMs = nowMs() - beganAtMs;
      this.account.charge(costMs, nowMs());
      this.options.onPassed(costMs);
      onPassed(costMs);
    });
  }

  /** The reader's own pauses are remembered while the connection is held. */
  private hold(): void {
    if (this.isHeld) return;
    this.isHeld = true;
    const {connection} = this;
    connection.pause();
    connection.pause = () => {
      this.isFlowing = false;
      this.options.onOver(this);
      return connection;
    };
    connection.resume = () => {
      const wasFlowing = this.isFlowing;
      this.isFlowing = true;
      if (!wasFlowing && !this.isPassing) this.goOn();
      return connection;
    };
  }

  private release(): void {
    if (!this.isHeld) return;
    this.isHeld = false;
    const {connection, isFlowing} = this;
    // The methods of its class again.
    Reflect.deleteProperty(connection, 'pause');
    Reflect.deleteProperty(connection, 'resume');
    if (isFlowing) connection.resume();
  }

  /** Nothing comes any more, so that nothing is left to pace. */
  private passRest(): void {
    for (const bytes of this.held.splice(0)) this.emit('data', bytes);
  }

  private drop(): void {
    this.held.length = 0;
    this.options.onOver(this);
  }
}

/** For all connections of this process. */
export const INPUT_PACER = new InputPacer();
