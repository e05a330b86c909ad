/**
 * Bounds the processor time that parsing the input of single connections takes.
 *
 * Some input costs far more to parse than to send, such as chunks of one byte.
 * Node.js reads up to 2 MB of a connection before it turns to the next one.
 */

import type {Server} from 'node:net';
import type {Duplex} from 'node:stream';
import {chooseInput, InputAccount, WAITING_TURN_MS} from './input_shares.js';

/** Passes what connections receive on in parts, in turns if they are costly. */
export class InputPacer {
  private readonly waiting = new Set<PacedInput>();
  /** What input has taken in this turn of the event loop. */
  private currentTurnMs = 0;
  private isRunning = false;

  constructor(
    readonly nowMs: () => number = () => performance.now(),
    /** Runs a callback in the next turn of the event loop. */
    private readonly inNextTurn: (run: () => void) => void = setImmediate,
  ) {}

  /**
   * Paces a connection from now on. Its readers see the same events as before,
   * `data` possibly later and in smaller parts.
   *
   * @example
   * pacer.pace(connection);
   */
  pace(connection: Duplex): void {
    new PacedInput(connection, this);
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
      socket.on('data', ignore);
      this.pace(socket);
    });
  }

  /** Number of the connections that wait. */
  get waitingCount(): number {
    return this.waiting.size;
  }

  get turnMs(): number {
    return this.currentTurnMs;
  }

  /** Counts the time that a part of any connection has taken. */
  noteCost(costMs: number): void {
    if (this.currentTurnMs === 0) setImmediate(() => (this.currentTurnMs = 0));
    this.currentTurnMs += costMs;
  }

  /** Called when a connection has something for its reader and has to wait. */
  add(input: PacedInput): void {
    this.waiting.add(input);
    if (!this.isRunning) this.scheduleNext();
  }

  /** Called when nothing of a connection may be passed on for now. */
  remove(input: PacedInput): void {
    this.waiting.delete(input);
  }

  private scheduleNext(): void {
    this.isRunning = true;
    this.inNextTurn(() => this.passNext(this.nowMs()));
  }

  /** For some time in a turn, so that everything else gets its turn as well. */
  private passNext(turnBeganAtMs: number): void {
    const input = chooseInput(
      this.waiting,
      ({account}) => account,
      this.nowMs(),
    );
    if (input === undefined) {
      this.isRunning = false;
      return;
    }
    this.waiting.delete(input);
    input.passNext(() => {
      if (this.nowMs() - turnBeganAtMs >= WAITING_TURN_MS) this.scheduleNext();
      else this.passNext(turnBeganAtMs);
    });
  }
}

function ignore(): void {}

/** What one connection has received and its reader hasn't got yet. */
class PacedInput {
  readonly account = new InputAccount();
  private readonly held: Buffer[] = [];
  private isPassing = false;
  private isHeld = false;
  /** Whether the reader wants data while the connection is held. */
  private isFlowing = true;
  private readonly emit: Duplex['emit'];
  private beganAtMs = 0;
  private onPassed: (() => void) | undefined;

  constructor(
    private readonly connection: Duplex,
    private readonly pacer: InputPacer,
  ) {
    const {emit} = connection;
    this.emit = emit;
    connection.emit = (event: string | symbol, ...args: unknown[]) => {
      if (event === 'data') {
        this.take(args[0] as Buffer);
        return true;
      }
      if (event === 'end') this.passRest();
      if (event === 'close') this.drop();
      return emit.call(connection, event, ...args);
    };
  }

  /** Passes the next part on, and calls back once it has been read. */
  passNext(onPassed: () => void): void {
    this.onPassed = onPassed;
    if (this.held.length === 0) this.settle();
    else this.passHeld();
  }

  private take(bytes: Buffer): void {
    const {held, account, pacer} = this;
    if (this.isPassing || this.isHeld || held.length > 0) {
      held.push(bytes);
      return;
    }
    const nowMs = pacer.nowMs();
    const mayPass = account.mayPass(bytes.length, nowMs, {
      waiting: pacer.waitingCount,
      turnMs: pacer.turnMs,
    });
    if (mayPass) {
      this.passPart(bytes, nowMs);
      return;
    }
    held.push(bytes);
    this.goOn();
  }

  /** Passes on what may be passed at once, and waits with the rest. */
  private goOn(): void {
    const {connection, pacer} = this;
    if (!this.isHeld) this.isFlowing = !connection.isPaused();
    if (this.held.length === 0) {
      this.release();
    } else if (!this.isFlowing) {
      this.hold();
    } else if (this.account.mustWait(pacer.nowMs(), pacer.waitingCount)) {
      this.hold();
      pacer.add(this);
    } else this.passHeld();
  }

  private passHeld(): void {
    const {held, account, pacer} = this;
    const nowMs = pacer.nowMs();
    const [first] = held;
    const partBytes = account.partBytes(pacer.turnMs);
    if (first.length <= partBytes) held.shift();
    else held[0] = first.subarray(partBytes);
    this.passPart(first.subarray(0, partBytes), nowMs);
  }

  /** The time includes what the reader does right after its callbacks. */
  private passPart(part: Buffer, nowMs: number): void {
    this.beganAtMs = nowMs;
    this.isPassing = true;
    this.emit.call(this.connection, 'data', part);
    process.nextTick(settleInput, this);
  }

  /** Counts the part that has been passed on, and goes on with the rest. */
  endPart(): void {
    const nowMs = this.pacer.nowMs();
    const costMs = nowMs - this.beganAtMs;
    this.isPassing = false;
    this.account.charge(costMs, nowMs);
    this.pacer.noteCost(costMs);
    this.settle();
  }

  private settle(): void {
    const {onPassed} = this;
    this.onPassed = undefined;
    if (this.held.length > 0 || this.isHeld) this.goOn();
    onPassed?.();
  }

  /** The reader's own pauses are remembered while the connection is held. */
  private hold(): void {
    if (this.isHeld) return;
    this.isHeld = true;
    const {connection} = this;
    connection.pause();
    connection.pause = () => {
      this.isFlowing = false;
      this.pacer.remove(this);
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
    for (const bytes of this.held.splice(0)) {
      this.emit.call(this.connection, 'data', bytes);
    }
  }

  private drop(): void {
    this.held.length = 0;
    this.pacer.remove(this);
  }
}

function settleInput(input: PacedInput): void {
  input.endPart();
}

/** For all connections of this process. */
export const INPUT_PACER = new InputPacer();
